#!/usr/bin/env python3
"""Runs policy_bench over workloads, policies and seeds, and prints a table of
medians with the spread. With --out, writes the table and plots (gnuplot)."""

import argparse
import concurrent.futures
import json
import pathlib
import statistics
import subprocess

ROOT = pathlib.Path(__file__).resolve().parent.parent
POLICIES = ["pomeloring", "round-robin", "least-reported-load", "two-choices",
            "fifo-shared", "bound"]


def deployment_of(workload):
    return ROOT / "examples" / (workload.split("-")[0] + ".json")


def run(job):
    binary, workload, policy, seed = job
    output = subprocess.run(
        [binary, "--deployment", deployment_of(workload), "--workload",
         ROOT / "bench/workloads" / (workload + ".json"), "--policy", policy,
         "--seed", str(seed), "--json"],
        capture_output=True, text=True, check=True).stdout
    return job, json.loads(output)


def spread(values):
    return "%.4f [%.4f %.4f]" % (statistics.median(values), min(values),
                                 max(values))


def row_of(results):
    classes = sorted({name for r in results for name in r["classes"]})
    cells = [
        spread([r["weighted_attainment"] for r in results]),
        "%.2f" % statistics.median(r["goodput"] for r in results),
        "%.0f" % statistics.median(r["token_goodput"] for r in results),
        "%.4f" % statistics.median(r["wasted_share"] for r in results),
        str(sum(r["tier_violations"] for r in results)),
    ]
    cells.append(" ".join(
        "%s %.4f" % (name, statistics.median(
            r["classes"].get(name, {"attainment": 0})["attainment"]
            for r in results)) for name in classes))
    return cells


def plot(out, workload, rows):
    data = out / (workload + ".dat")
    data.write_text("".join("%s %s\n" % (policy, cells[0].split()[0])
                            for policy, cells in rows))
    script = """set terminal svg size 640,320
set output '%s'
set title '%s: weighted attainment'
set style data histograms
set style fill solid 0.6
set yrange [0:1]
set grid y
plot '%s' using 2:xtic(1) notitle
""" % (out / (workload + ".svg"), workload, data)
    subprocess.run(["gnuplot"], input=script, text=True, check=True)
    data.unlink()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument("--workload", action="append")
    parser.add_argument("--policy", action="append")
    parser.add_argument("--bench", default=ROOT / "build/bin/policy_bench")
    parser.add_argument("--out", type=pathlib.Path)
    options = parser.parse_args()
    workloads = options.workload or sorted(
        path.stem for path in (ROOT / "bench/workloads").glob("*.json"))
    policies = options.policy or POLICIES
    jobs = [(options.bench, workload, policy, seed) for workload in workloads
            for policy in policies for seed in range(1, options.seeds + 1)]
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        results = dict(pool.map(run, jobs))
    lines = ["| workload | policy | weighted attainment [min max] | goodput/s | "
             "tokens/s | wasted | tier violations | attainment by class |",
             "|---|---|---|---|---|---|---|---|"]
    for workload in workloads:
        rows = []
        for policy in policies:
            of_policy = [results[job] for job in jobs
                         if job[1] == workload and job[2] == policy]
            rows.append((policy, row_of(of_policy)))
            lines.append("| %s | %s | %s |" % (workload, policy,
                                               " | ".join(rows[-1][1])))
        if options.out:
            options.out.mkdir(parents=True, exist_ok=True)
            plot(options.out, workload, rows)
    table = "\n".join(lines) + "\n"
    print(table, end="")
    if options.out:
        (options.out / "policy_matrix.md").write_text(table)


if __name__ == "__main__":
    main()
