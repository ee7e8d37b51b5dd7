#!/usr/bin/env python3
"""Plants one fault after the other in a copy of the sources and shows that the
promise fuzzer, or else a test, catches each. With --gateway the faults are
those of the gateway, caught by its tests or else by the soak. Exits with 1
where one is missed."""

import argparse
import pathlib
import re
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
WORK = ROOT / "build-mutations"

# Name, file, original text, text that replaces it.
MUTATIONS = [
    ("repeats what may have run", "entry.cc",
     "request.class_config.idempotent || !request.may_have_started;", "true;"),
    ("forgets that an attempt may have started", "entry.cc",
     "request->may_have_started |= !not_started;",
     "request->may_have_started |= false;"),
    ("says not-run after a start", "entry.cc",
     "if (request.may_have_started) {\n    return OutcomeUnknown",
     "if (false) {\n    return OutcomeUnknown"),
    ("resumes at the start", "entry.cc",
     "StartUpstreamAttempt{granted.attempt, *upstream, request->tokens}",
     "StartUpstreamAttempt{granted.attempt, *upstream, 0}"),
    ("uses a grant at a leaving upstream", "entry.cc",
     "upstream == nullptr || view.leaving.contains(granted.upstream)",
     "upstream == nullptr"),
    ("never gives up", "entry_slot_requests.cc",
     "return now >= SlotDeadline(request);", "return false && now >= SlotDeadline(request);"),
    ("runs a key whose outcome is unknown again", "idempotency_key.cc",
     "return OutcomeUnknown{UnknownReason::kUpstreamLost};",
     "return KeyBegun{};"),
    ("runs a bound key at any instance", "instance.cc",
     "if (incarnation == m_settings.self.incarnation) {", "if (true) {"),
    ("lets the last claim of a key win", "key_claim.cc",
     "if (is_first) {", "it->second = owner;\n      if (is_first) {"),
    ("starts a claim that was given up", "instance_time.cc",
     "expired.push_back(it->second);\n        m_awaiting_claim.erase(it);",
     "expired.push_back(it->second);"),
    ("accepts a publish on any base", "config_history.cc",
     "if (record.base != in_force.revision) {", "if (false) {"),
    ("joins records across a gap", "config_history.cc",
     "(history.pending_records.empty() ||", "(true ||"),
    ("takes over an older state", "config_history.cc",
     "if (!ahead) {", "if (false && !ahead) {"),
    ("keeps lost grants", "slots_in_use.cc",
     "if (now - grant.granted_at > kReportTimeout && is_silent(grant.entry)) {",
     "if (false && is_silent(grant.entry)) {"),
    ("leaves the queue to a dead scheduler", "entry.cc",
     "request.phase == RequestPhase::kWaitingForSlot &&\n"
     "        request.scheduler == instance;",
     "false && request.scheduler == instance;"),
    ("leaves an old fencing number in place", "engine_order.cc",
     "record.needs_order = upstream.checks_fencing;",
     "record.needs_order = false;"),
    ("never reads an engine again", "engine_order.cc",
     "record->next_call = record->confirmed ? now + kReadInterval : now;",
     "record->next_call = record->confirmed ? now + kReadInterval * 1000 : now;"),
]

# Mutations of src/gateway, src/routing and platform.
GATEWAY_MUTATIONS = [
    ("repeats what may have run", "src/routing/routing_config.cc",
     "return route.kind == RouteKind::kIdempotent ||", "return true ||"),
    ("says not-run after a run", "src/gateway/exchange_replies.cc",
     "} else if (m_may_have_executed) {", "} else if (false) {"),
    ("refuses as unplaced what has run", "src/gateway/exchange_replies.cc",
     "if (m_may_have_executed) {\n    reply = {502", "if (false) {\n    reply = {502"),
    ("passes on a refusal's status after a run",
     "src/gateway/exchange_replies.cc", "if (end == AttemptEnd::kWhole && !states_not_executed)",
     "if (end == AttemptEnd::kWhole && (true || !states_not_executed))"),
    ("ends a cut stream as whole", "src/gateway/exchange_replies.cc",
     "end == AttemptEnd::kWhole &&\n                        "
     "!m_event_splitter->HasPartialEvent() &&\n                        "
     "!m_stream_broken",
     "true"),
    ("resumes at the start", "src/gateway/exchange.cc",
     "m_event_splitter && m_event_splitter->LastId()\n", "false\n"),
    ("passes a torn event on", "src/gateway/exchange_replies.cc",
     "m_event_splitter->DiscardPartialEvent();", ""),
    ("takes another request's reply", "src/gateway/upstream_attempt.cc",
     "if (metadata.request_id == m_request.id) {", "if (true) {"),
    ("takes an unsigned success", "src/gateway/upstream_attempt.cc",
     "m_reply.status < 300 &&\n      !metadata.is_signed", "false"),
    ("keeps a connection with bytes left over", "src/gateway/upstream_attempt.cc",
     "&&\n                        m_connection->buffer.size() == 0", ""),
    ("passes the key on", "platform/request_codec.cc",
     "kAccountKey, kTimeLeft,    kLastEvent,", "kTimeLeft,    kLastEvent,"),
    ("runs on for a caller that left", "src/gateway/exchange.cc",
     "self->m_client_disconnected = true;\n    self->StopAttempt();",
     "self->m_client_disconnected = true;"),
    ("cuts what runs at a planned stop", "src/gateway/gateway.cc",
     "while (m_gateway_context.active_exchanges > 0 &&", "while (false &&"),
    ("counts a relayed instance twice", "src/routing/router_peers.cc",
     "if (is_counted_elsewhere) {", "if (is_counted_elsewhere && false) {"),
    ("forgets the runs that ended between whole digests",
     "src/routing/router_peers.cc", "    if (IsSignificant(load)) {\n      state->second->peer_loads",
     "    if (true) {\n      state->second->peer_loads"),
    ("keeps using a leaving upstream", "src/routing/router.cc",
     "if (!state->record.draining) {", "if (true) {"),
    ("takes a start for an outage", "src/routing/router.cc",
     "} else if (m_store_status == StoreStatus::kAvailable) {", "} else {"),
    ("lets an older text stand for a newer change",
     "src/routing/upstream_table.cc", "change.offset <= known.offset", "false"),
    ("compares changes by offset", "src/routing/router_peers.cc",
     "digest.upstreams_as_of >= m_table.as_of &&", "digest.upstreams_as_of > m_table.as_of &&"),
]


def prepare():
    for stale in ("source", "objects"):
        shutil.rmtree(WORK / stale, ignore_errors=True)
    for folder in ("src", "include", "test"):
        shutil.copytree(ROOT / folder, WORK / "source" / folder)


def compile_fuzzer(jobs):
    source = WORK / "source"
    objects = WORK / "objects"
    objects.mkdir(exist_ok=True)
    files = sorted((source / "src/core").glob("*.cc")) + [
        source / "test/support/membership_fleet.cc",
        source / "test/support/small_config.cc",
        source / "test/support/virtual_site.cc",
        source / "test/support/virtual_site_actions.cc",
        source / "test/fuzz/promise_run.cc",
        source / "test/fuzz/promise_fuzz.cc",
    ]
    makefile = ["all: fuzz", "FLAGS = -std=c++20 -O1 -w -I%s/src -I%s/include "
                "-I%s/test" % (source, source, source)]
    names = []
    for file in files:
        name = objects / (file.stem + ".o")
        names.append(str(name))
        makefile.append("%s: %s\n\tccache g++ $(FLAGS) -c $< -o $@" % (name, file))
    tests = sorted((source / "test/correctness").glob("*.cc")) + [
        source / "test/support/doctest_main.cc"]
    test_names = []
    for file in tests:
        name = objects / (file.stem + ".o")
        test_names.append(str(name))
        makefile.append("%s: %s\n\tccache g++ $(FLAGS) -c $< -o $@" % (name, file))
    core_names = [name for name in names if not name.endswith(
        ("promise_run.o", "promise_fuzz.o"))]
    makefile.append("tests: %s\n\tg++ $^ -lfmt -lboost_json -o %s/tests" %
                    (" ".join(core_names + test_names), WORK))
    makefile.append("fuzz: %s\n\tg++ $^ -lfmt -lboost_json -o %s/fuzz" %
                    (" ".join(names), WORK))
    (WORK / "Makefile").write_text("\n".join(makefile) + "\n")
    subprocess.run(["make", "-s", "-j", str(jobs), "-C", str(WORK)], check=True)


def run_tests(jobs):
    """Returns the first failed test case, for faults that the fuzzer misses."""
    subprocess.run(["make", "-s", "-j", str(jobs), "-C", str(WORK), "tests"],
                   check=True)
    output = subprocess.run([WORK / "tests", "--minimal"], capture_output=True,
                            text=True, check=False).stdout
    cases = [line for line in output.splitlines()
             if line.startswith("TEST CASE:")]
    return ["test case '%s'" % cases[0][10:].strip()] if cases else []


def fuzz(runs):
    result = subprocess.run(
        [WORK / "fuzz", "--seed", "1", "--runs", str(runs), "--steps", "150",
         "--first"],
        capture_output=True, text=True, check=False)
    caught = [line for line in result.stdout.splitlines() if line.startswith("seed")]
    return caught


def run_core(options):
    prepare()
    compile_fuzzer(options.jobs)
    if fuzz(options.runs):
        sys.exit("the unchanged sources break a promise; see promise_fuzz")

    def catch():
        compile_fuzzer(options.jobs)
        return fuzz(options.runs) or run_tests(options.jobs)

    mutations = [(name, "src/core/" + file, old, new)
                 for name, file, old, new in MUTATIONS
                 if re.search(options.only, name)]
    return plant_all(mutations, WORK / "source", catch)


def run_gateway(options):
    source = WORK / "whole"
    shutil.rmtree(source, ignore_errors=True)
    shutil.copytree(ROOT, source,
                    ignore=shutil.ignore_patterns("build*", "target", ".git",
                                                  "journal"))
    build = source / "build"
    subprocess.run(["cmake", "-S", source, "-B", build, "-G", "Ninja"],
                   check=True, stdout=subprocess.DEVNULL)

    def catch():
        subprocess.run(["ninja", "-C", build, "-j", str(options.jobs),
                        "--quiet", "routing_test", "gateway_test", "soak"],
                       check=True, stdout=subprocess.DEVNULL)
        return (failed_case(build, "routing_test")
                or failed_case(build, "gateway_test") or soak(build))

    if catch():
        sys.exit("the unchanged sources fail a test")
    return plant_all([m for m in GATEWAY_MUTATIONS
                      if re.search(options.only, m[0])],
                     source, catch)


def failed_case(build, program):
    output = subprocess.run([build / "bin" / program, "--minimal"],
                            capture_output=True, text=True, check=False).stdout
    return ["test case '%s'" % line[10:].strip() for line in output.splitlines()
            if line.startswith("TEST CASE:")][:1]


def soak(build):
    output = subprocess.run([build / "bin/soak", "--seed", "1", "--seeds", "3"],
                            capture_output=True, text=True, check=False).stdout
    return ["soak: " + line.strip() for line in output.splitlines()
            if line.startswith("  ")][:1]


def plant_all(mutations, source, catch):
    """Applies each mutation on its own; returns how many were missed and how many
    were applied."""
    missed = 0
    for name, file, old, new in mutations:
        path = source / file
        original = path.read_text()
        if old not in original:
            sys.exit("mutation '%s' does not fit %s any more" % (name, file))
        path.write_text(original.replace(old, new, 1))
        caught = catch()
        path.write_text(original)
        missed += 0 if caught else 1
        print("%-45s %s" % (name, caught[0][:110] if caught else "MISSED"),
              flush=True)
    return missed, len(mutations)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=300)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--gateway", action="store_true")
    parser.add_argument("--only", default="", help="a pattern that names have to match")
    options = parser.parse_args()
    WORK.mkdir(exist_ok=True)
    missed, planted = run_gateway(options) if options.gateway else run_core(
        options)
    print("%d passed, %d failed" % (planted - missed, missed))
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()
