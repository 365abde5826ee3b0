"""Measures one real entry against many hosts, and one real agent with many
tasks, and prints the slopes that docs/CAPACITY.md is worked out from."""

import argparse
import json
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
from cluster import BUILD, Site, wait_for  # noqa: E402

TICKS = os.sysconf("SC_CLK_TCK")


def cpu_seconds(process):
    fields = Path(f"/proc/{process.child.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(process):
    for line in Path(f"/proc/{process.child.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def loopback_bytes():
    for line in Path("/proc/net/dev").read_text().splitlines():
        if line.strip().startswith("lo:"):
            return int(line.split(":")[1].split()[0])
    return 0


class Window:
    """What one process and the store used over a time."""

    def __init__(self, site, process):
        self.site, self.process = site, process
        self.started = time.monotonic()
        self.cpu = cpu_seconds(process)
        self.bytes = loopback_bytes()
        self.stats = site.store_stats()

    def end(self):
        seconds = time.monotonic() - self.started
        stats = self.site.store_stats()
        calls = {kind: round((count - self.stats["calls"].get(kind, 0)) / seconds, 2)
                 for kind, count in stats["calls"].items()}
        store_bytes = sum(stats[k] - self.stats[k] for k in ("bytes_in", "bytes_out"))
        return {"core_percent": round(100 * (cpu_seconds(self.process) - self.cpu) / seconds, 2),
                "resident_mb": round(resident_mb(self.process), 1),
                "loopback_kb_per_s": round((loopback_bytes() - self.bytes) / seconds / 1024, 1),
                "store_kb_per_s": round(store_bytes / seconds / 1024, 2),
                "store_calls_per_s": calls}


def fit(points):
    """Least squares y = a + b x; returns the intercept, slope and residuals."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    base = mean_y - slope * mean_x
    return {"base": round(base, 4), "slope": round(slope, 6),
            "residuals": [round(y - base - slope * x, 3) for x, y in points]}


def submit(site, name, team, tasks, run_time_ms):
    body = {"kind": "job", "name": name, "team": team, "tasks": tasks,
            "run_time_ms": run_time_ms, "demand": {"millicores": 100, "memory_mb": 100}}
    wait_for("accepted", lambda: site.apply(body, check=False)[0] == 0)


def running_tasks(site, jobs):
    total = 0
    for team, name in jobs:
        job = site.job(team, name)
        total += (job or {"counts": {}})["counts"].get("running", 0)
    return total


def measure_entry(hosts, standing, seconds, sync_ms, shards):
    with Site(shards=shards) as site:
        entry = site.add_entry("entry-0", "domain-0")
        fleet_command = [BUILD / "packages/capacity/capacity_fleet", f"--hosts={hosts}",
                         f"--sync-ms={sync_ms}", f"--entry=127.0.0.1:{entry.ports['rpc']}"]
        site.spawn("fleet", fleet_command)
        arrival = Window(site, entry)
        wait_for("all hosts known", lambda: len(site.cli("status")[1]["hosts"]) == hosts)
        report = {"hosts": hosts, "arrival_of_all_hosts": arrival.end()}
        wait_for("shards", lambda: site.cli("status")[1].get("owned_shards") == shards)
        time.sleep(2)
        window = Window(site, entry)
        time.sleep(seconds)
        report["idle"] = window.end()
        jobs = []
        for number in range(max(1, standing // 50)):
            team = f"team-{number % 390}"
            jobs.append((team, f"standing-{number}"))
            submit(site, f"standing-{number}", team, min(50, standing), 3_600_000)
        wanted = min(50, standing) * len(jobs)
        wait_for("standing tasks run", lambda: running_tasks(site, jobs) == wanted, 180)
        time.sleep(2)
        window = Window(site, entry)
        time.sleep(seconds)
        report["standing_tasks"] = wanted
        report["standing"] = window.end()
        window = Window(site, entry)
        started = time.monotonic()
        changes = 0
        while time.monotonic() < started + seconds:
            site.apply({"kind": "team", "name": f"team-{changes}",
                        "quota": {"millicores": 16000000, "memory_mb": 60000000,
                                  "accelerators": 2000}})
            changes += 1
            time.sleep(max(0.0, started + changes * 0.5 - time.monotonic()))
        report["changes_per_s"] = round(changes / (time.monotonic() - started), 2)
        report["changes"] = window.end()
        window = Window(site, entry)
        started = time.monotonic()
        submitted = 0
        while time.monotonic() < started + seconds:
            submit(site, f"burst-{submitted}", f"team-{submitted % 390}", 31, 1000)
            submitted += 1
            time.sleep(max(0.0, started + submitted * 0.5 - time.monotonic()))
        report["starts_per_s"] = round(31 * submitted / (time.monotonic() - started), 1)
        report["peak"] = window.end()
        return report


def measure_agent(tasks, seconds):
    with Site(shards=4) as site:
        site.add_entry("entry-0", "marka")
        host = site.add_host("host-0", "marka", worker_options=["--millicores=64000"])
        wait_for("host known", lambda: len(site.cli("status")[1]["hosts"]) == 1)
        submit(site, "standing", "team-0", tasks, 3_600_000)
        wait_for("tasks run", lambda: running_tasks(site, [("team-0", "standing")]) == tasks)
        time.sleep(2)
        window = Window(site, host.agent)
        time.sleep(seconds)
        return {"tasks": tasks, **window.end()}


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--hosts", type=int, nargs="+", default=[50, 200, 860])
    parser.add_argument("--tasks", type=int, nargs="+", default=[5, 20, 50])
    parser.add_argument("--tasks-per-host", type=float, default=14.3)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--sync-ms", type=int, default=1000)
    parser.add_argument("--shards", type=int, default=64)
    options = parser.parse_args()
    entries = []
    for hosts in options.hosts:
        standing = int(hosts * options.tasks_per_host)
        report = measure_entry(hosts, standing, options.seconds, options.sync_ms,
                               options.shards)
        print(json.dumps(report), flush=True)
        entries.append(report)
    agents = []
    for tasks in options.tasks:
        report = measure_agent(tasks, options.seconds)
        print(json.dumps(report), flush=True)
        agents.append(report)
    if len(entries) > 1:
        for load in ("idle", "standing", "changes", "peak"):
            for figure in ("core_percent", "resident_mb", "loopback_kb_per_s"):
                points = [(r["hosts"], r[load][figure]) for r in entries]
                print(f"entry, {load}, {figure} per host:", json.dumps(fit(points)))
    if len(agents) > 1:
        for figure in ("core_percent", "resident_mb", "loopback_kb_per_s"):
            points = [(r["tasks"], r[figure]) for r in agents]
            print(f"agent, {figure} per task:", json.dumps(fit(points)))


if __name__ == "__main__":
    main()
