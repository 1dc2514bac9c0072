# Reads what `cargo test --no-fail-fast` printed and writes one line for each
# failed test, `failed PACKAGE::TEST`, and the sums of all test programs.
#
# A program that dies (a signal, an abort) leaves no list of failures. It is
# written as `failed PACKAGE::whole-program`, so that it can't pass unseen.

/^failures:$/ {
    # The captured output comes under the same heading as the list, which is
    # the last one of a program: start over.
    listing = 1
    names = 0
    next
}

listing && /^    [^ ]/ {
    name[++names] = substr($0, 5)
    next
}

/^test result: / {
    listing = 0
    passed += value("passed")
    failed += value("failed")
    ignored += value("ignored")
    next
}

/^error: test failed, to rerun pass / || /^error: doctest failed, to rerun pass / {
    match($0, /-p [^ `]+/)
    package = substr($0, RSTART + 3, RLENGTH - 3)
    if (names == 0) {
        failed++
        print "failed " package "::whole-program"
    }
    for (i = 1; i <= names; i++) {
        print "failed " package "::" name[i]
    }
    listing = 0
    names = 0
}

END {
    if (ignored > 0) {
        print ignored " ignored"
    }
    printf "%d passed, %d failed\n", passed, failed
}

# The number in front of `word` in this line.
function value(word) {
    match($0, "[0-9]+ " word)
    return substr($0, RSTART, RLENGTH) + 0
}
