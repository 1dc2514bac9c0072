//! Loopback addresses for each process.

use std::net::{Ipv4Addr, SocketAddr};

/// Instances for each value of the third byte.
const BLOCK: usize = 200;

/// Second bytes that are used; the lower ones are left to tests.
const FIRST_NET: u32 = 64;
const NETS: u32 = 128;

/// One run's own part of 127.0.0.0/8. Two runs at the same time take different
/// parts unless their process ids are a multiple of 128 apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Net(u8);

impl Net {
    /// The part that belongs to this process.
    #[must_use]
    pub fn of_this_process() -> Self {
        let net = FIRST_NET + std::process::id() % NETS;
        Self(u8::try_from(net).unwrap_or(u8::MAX))
    }

    /// Where callers reach instance `index`.
    #[must_use]
    pub fn caller(self, index: usize) -> SocketAddr {
        self.instance(index, 7001)
    }

    pub(crate) fn peer(self, index: usize) -> SocketAddr {
        self.instance(index, 7002)
    }

    pub(crate) fn operator(self, index: usize) -> SocketAddr {
        self.instance(index, 7003)
    }

    pub(crate) fn target(self, index: usize) -> SocketAddr {
        self.instance(index, 7004)
    }

    /// Where the platform's stand-in listens.
    #[must_use]
    pub fn platform(self) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.0, 250, 1), 7000))
    }

    /// Where one more process of the harness listens.
    #[must_use]
    pub fn extra(self, index: u8) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.0, 251, index), 7000))
    }

    fn instance(self, index: usize, port: u16) -> SocketAddr {
        let block = u8::try_from(index / BLOCK).expect("fewer than 50,000 instances");
        let host = u8::try_from(index % BLOCK + 1).unwrap_or(u8::MAX);
        SocketAddr::from((Ipv4Addr::new(127, self.0, block, host), port))
    }
}
