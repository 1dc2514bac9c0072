//! Runs the program in this process.

use std::cell::RefCell;
use std::ffi::OsString;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use stoatstep_ctl::{Exit, run};

pub(crate) const TOKEN: &str = "a-token-of-the-operators";

#[derive(Clone, Default)]
struct Buffer(Rc<RefCell<Vec<u8>>>);

impl Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.borrow_mut().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Buffer {
    fn text(&self) -> String {
        String::from_utf8_lossy(&self.0.borrow()).into_owned()
    }
}

/// What a run left behind.
#[derive(Debug)]
pub(crate) struct Done {
    pub(crate) exit: Exit,
    pub(crate) out: String,
    pub(crate) err: String,
}

/// Runs with the arguments, split at spaces, and no environment.
pub(crate) fn stoatctl(args: &str) -> Done {
    stoatctl_with(args, &|_| None)
}

/// Runs against these daemons, with the token in the environment.
pub(crate) fn stoatctl_at(daemons: &[SocketAddr], args: &str) -> Done {
    let daemons: Vec<String> = daemons.iter().map(SocketAddr::to_string).collect();
    let daemons = daemons.join(",");
    stoatctl_with(args, &|name| match name {
        "STOATSTEP_DAEMON" => Some(daemons.clone()),
        "STOATSTEP_OPERATOR_TOKEN" => Some(TOKEN.to_owned()),
        _ => None,
    })
}

fn stoatctl_with(args: &str, env: &dyn Fn(&str) -> Option<String>) -> Done {
    let args = args.split_whitespace().map(OsString::from).collect();
    let (out, err) = (Buffer::default(), Buffer::default());
    let exit = run(args, env, Box::new(out.clone()), Box::new(err.clone()));
    Done {
        exit,
        out: out.text(),
        err: err.text(),
    }
}

/// A file with this text that is removed when the guard is dropped.
pub(crate) struct TempFile(PathBuf);

impl TempFile {
    pub(crate) fn new(text: &str) -> Self {
        let name = format!("stoatctl-{}.toml", uuid::Uuid::now_v7());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).unwrap();
        Self(path)
    }

    pub(crate) fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}
