# From measured lines to the size to design for; see docs/CAPACITY.md.

# Value of the line through the points of a figure, at a size.
function at(figure, size, x) {
    return value["slopes_" figure "_by_" size "_intercept"] + slope(figure, size) * x
}

function slope(figure, size) {
    return value["slopes_" figure "_by_" size "_slope"]
}

function show(name, result, limit) {
    if (limit == "") {
        printf "%-38s %14.6g\n", name, result
    } else {
        printf "%-38s %14.6g %12g %6.1f %%\n", name, result, limit, 100 * result / limit
    }
}

# First size at which a line reaches a limit.
function breaks(name, figure, size, limit) {
    if (slope(figure, size) > 0) {
        show(name, (limit - at(figure, size, 0)) / slope(figure, size), "")
    } else {
        printf "%-38s %14s\n", name, "never"
    }
}

match($0, /"name":"[^"]*"/) {
    name = substr($0, RSTART + 8, RLENGTH - 9)
    if (match($0, /"value":[-+.0-9e]+/)) {
        value[name] = substr($0, RSTART + 8, RLENGTH - 8) + 0
    }
}

END {
    daemons = 610
    upstreams = 610
    zones = 8
    calls = 130000 / daemons
    deep = 8 * calls
    changes = 2100 / 86400
    change = 1024
    # A load of the slopes had run for so long when memory was read, and the
    # ledger keeps a record for so long (`LedgerConfig::ticket_life`).
    load_s = 12
    kept_s = 20

    # The pollers' traffic is the same in a fleet of any size, so its mean falls
    # with the size and no line fits it.
    platform = value["slopes_rest_platform_at_300_daemons"] * 300 / daemons

    for_change = at("change_configuration", "encoded_bytes", change) \
        + at("change_platform", "encoded_bytes", change)
    bytes = at("rest_membership", "daemons", daemons) \
        + at("rest_configuration", "daemons", daemons) \
        + platform + changes * for_change
    show("daemon_bytes_per_s", bytes, 29000)
    show("daemon_membership_bytes_per_s", at("rest_membership", "daemons", daemons), "")
    show("daemon_change_bytes", for_change, "")
    show("busiest_daemon_bytes_per_s", at("rest_busiest_daemon", "daemons", daemons), 29000)
    cores = at("rest_processor", "daemons", daemons) \
        + changes * at("change_processor", "encoded_bytes", change)
    show("daemon_cores", cores, 0.018)
    show("daemon_memory_bytes", at("rest_memory", "daemons", daemons), 128e6)
    show("state_transfer_bytes", at("state_transfer", "upstreams", upstreams), "")
    show("state_apply_s", at("state_apply_processor", "upstreams", upstreams), "")
    show("entry_cores", calls * slope("call_entry_processor", "calls_per_s"), "")
    show("entry_cores_8_deep", deep * slope("call_entry_processor", "calls_per_s"), "")
    show("executor_cores", calls * slope("call_executor_processor", "calls_per_s"), "")
    show("executor_cores_8_deep", deep * slope("call_executor_processor", "calls_per_s"), "")
    record = slope("call_executor_memory", "calls_per_s") / load_s
    show("executor_record_bytes", record, "")
    show("executor_records", calls * kept_s, 200000)
    show("executor_records_8_deep", deep * kept_s, 200000)
    show("executor_memory_bytes", at("rest_memory", "daemons", daemons) + record * calls * kept_s, 128e6)
    show("platform_reads_per_s", at("rest_platform_reads", "daemons", daemons), 2000)
    show("platform_items_read_per_s", at("rest_platform_items", "daemons", daemons), 2000)
    show("platform_reads_for_a_change", slope("changes_platform_reads", "changes_per_s"), "")
    show("platform_writes_for_a_change", slope("changes_platform_writes", "changes_per_s"), "")
    breaks("breaks_bytes_at_daemons", "rest_membership", "daemons", 29000)
    breaks("breaks_processor_at_daemons", "rest_processor", "daemons", 0.018)
    breaks("breaks_memory_at_daemons", "rest_memory", "daemons", 128e6)
    breaks("breaks_memory_at_upstreams", "state_memory", "upstreams", 128e6)
    breaks("breaks_processor_at_changes_per_s", "changes_processor", "changes_per_s", 0.018)
    show("breaks_ledger_at_calls_per_s", 200000 / kept_s, "")
}
