"""A small deployment on loopback: the project's daemons as separate processes,
started with the commands of the deploy file, and stand-ins for the store, the
workers and the consumers.
"""

import asyncio
import json
import os
import random
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "standins"))
import platform_store  # noqa: E402
from http_lite import call  # noqa: E402
from worker import Cluster, Worker  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
ZONES = ["marka", "sahab", "zarqa"]
SERVICE, HOST_HEADER = "bankline", "site.example"
PREFIX, SECOND_PREFIX = "/jobs/", "/plans/"
START_PATIENCE_S = 25.0
RETRY_S = 0.4

# The bounds that the pages give for the small deployments.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000,
    "cold_overshoot": 1.5, "cold_slack": 5, "evacuate_ms": 5000, "recovery_s": 12,
    "hold_max_ms": 10000, "stop_ms": 200, "gang_ms": 3000, "cancel_ms": 3000,
    "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
    "far_factor": 1.5, "checkpoint_s": 0.5, "restore_ms": 100, "notice_ms": 4500,
    "move_s": 1.5, "maintenance_s": 2, "require_fence": True, "lease_ms": 3000,
    "thaw_ms": 300, "pace_ms": 100, "harm_ms": 4000}
HEARTBEAT_MS = 1500


class CannotRun(Exception):
    pass


class Daemon:
    """One process of the system on a machine of its own loopback address."""

    def __init__(self, site, role, name, ip, zone, more):
        self.site, self.role, self.name, self.ip = site, role, name, ip
        self.child = None
        entry = role == "entry"
        settings = {
            "node_name": name, "role": role, "machine_class": "front" if entry else "side",
            "serves": ["front"] if entry else ["side"], "ip": ip, "zone": zone,
            "region": "amman", "internal_ports": [site.ports, site.ports + 15],
            "seeds": [], "bootstrap": True, "fault_counted": False,
            "discovery": "local", "entry": "vip", "heartbeat_ms": HEARTBEAT_MS,
            "orders": "call", "zones": {zone: "amman" for zone in ZONES},
            "limits": {"cpu_share": 0.25 if entry else 0.15, "cores": 1,
                       "memory_mb": 260 if entry else 128, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {"address": site.store_address, "form": "kv",
                         "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
                         "value_bytes": 1048576, "ttl_min_ms": 1000}, **more}
        self.settings = site.folder / f"{name}.json"
        self.settings.write_text(json.dumps(settings))
        self.log = site.folder / f"{name}.log"

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["ZINNIACART_BOOT"] = str(self.settings)
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(
                self.site.commands[self.role], cwd=ROOT, env=environment,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.site.record(f"started {self.name}, process {self.child.pid}")

    def signal(self, number):
        self.site.record(f"{signal.Signals(number).name} to {self.name}")
        self.child.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.child.wait()


class Site:
    def __init__(self, folder, entries=3, workers=3, capacity=None, labels=None):
        self.began = time.monotonic()
        self.record_file = open(Path(folder) / "record.txt", "w")
        self.folder = Path(tempfile.mkdtemp(prefix="zinniacart-review-"))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.commands = {role: row["run"].split() for role, row in deploy["roles"].items()}
        if not (ROOT / self.commands["entry"][0]).exists():
            raise CannotRun("the build of the deploy file has not run")
        self.base = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}."
        self.ports = self.free_ports()
        self.store = platform_store.Store()
        self.store_address = "127.0.0.1:%d" % (
            platform_store.serve(self.store).server_address[1])
        self.cluster = Cluster(dict(BOUNDS, heartbeat_ms=HEARTBEAT_MS), self.record)
        self.configure(1)
        self.entries, self.agents, self.workers = [], [], []
        for n in range(entries):
            ip = self.base + str(1 + n)
            self.entries.append(Daemon(
                self, "entry", f"front-{ZONES[n % 3]}-{n}", ip, ZONES[n % 3],
                {"listen": {"front": f"{ip}:{self.ports + 20}",
                            "ready": f"{ip}:{self.ports + 21}"}}))
        for n in range(workers):
            ip, zone = self.base + str(101 + n), ZONES[n % 3]
            worker = Worker(
                self.cluster, f"w{n}", ip, self.ports + 23, zone, SERVICE,
                (labels or {}).get(n, ["a", f"r{n % 3}-{n // 3}"]),
                (capacity or {}).get(n, {"cpu": 16000, "mem_mb": 64000, "gpu": 0}))
            worker.control = (ip, self.ports + 22)
            self.workers.append(worker)
            self.agents.append(Daemon(
                self, "agent", f"side-{zone}-{n}", ip, zone,
                {"listen": {"control": f"{ip}:{self.ports + 22}"},
                 "app": f"{ip}:{self.ports + 23}", "service": SERVICE}))
        self.prefixes = {}  # By job, where it is not `PREFIX`.

    def free_ports(self):
        for _ in range(50):
            first = random.randint(20000, 31000)
            try:
                for offset in (0, 1, 20, 21, 22, 23):
                    socket.create_server((self.base + "1", first + offset)).close()
                return first
            except OSError:
                continue
        raise CannotRun("no free ports")

    def now(self):
        return time.monotonic() - self.began

    def record(self, line):
        self.record_file.write(f"{self.now():8.3f} {line}\n")
        self.record_file.flush()

    def configure(self, version):
        self.store.put("op/config", {
            "version": version,
            "routes": [{"name": prefix.strip("/"), "host": HOST_HEADER, "prefix": prefix,
                        "kind": "unsafe", "timeout_ms": 3000, "objective_ms": 1000,
                        "priority": 0, "service": SERVICE, "max_attempts": 3,
                        "stretch": 2.0} for prefix in (PREFIX, SECOND_PREFIX)],
            "services": [{"name": SERVICE, "rejects_overload": True, "spare": False}],
            "limits": {}})

    async def start(self):
        for worker in self.workers:
            await worker.serve()
        for daemon in self.entries + self.agents:
            daemon.start()
        until = time.monotonic() + START_PATIENCE_S
        while True:
            ready = [await call(entry.ip, self.ports + 21, "GET", "/v1/ready", timeout=1)
                     for entry in self.entries]
            if all(answer[0] == 200 for answer in ready) and self.owner():
                status, answer = await self.ask("GET", "", 0)
                if status == 200 and all(worker.sequence for worker in self.workers):
                    break
            if time.monotonic() > until:
                raise CannotRun("the site did not start")
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)  # All workers have checked in and were listed.
        self.record("the site is ready")

    def owner(self):
        record = self.store.value("zinniacart/entries/owner")
        names = {entry.name: entry for entry in self.entries}
        return names.get(record["entry"]) if record else None

    async def ask(self, method, path, entry, body=None, timeout=3.0):
        prefix = self.prefixes.get(path, PREFIX)
        return await call(self.entries[entry].ip, self.ports + 20, method, prefix + path,
                          body, {"Host": HOST_HEADER,
                                 "Zinniacart-Deadline-Ms": str(int(timeout * 1000))},
                          timeout)

    async def submit(self, steps, spec="text", entry=None, patience=20.0, prefix=PREFIX,
                     schedule=None):
        """Hands a job in and repeats that, at any entry, until a 2xx answer."""
        job = secrets.token_hex(8)
        self.prefixes[job] = prefix
        self.cluster.jobs[job], self.cluster.specs[job] = steps, spec
        body = {"spec": spec, "steps": [
            {name: value for name, value in step.items() if name not in ("work_s", "fails_s")}
            for step in steps], **(schedule or {})}
        until = time.monotonic() + patience
        entry = random.randrange(len(self.entries)) if entry is None else entry
        while time.monotonic() < until:
            status, _ = await self.ask("POST", job, entry, body)
            self.record(f"POST {job} at {self.entries[entry].name}: {status}")
            if status == 200:
                return job
            await asyncio.sleep(RETRY_S)
            entry = (entry + 1) % len(self.entries)
        raise CannotRun(f"job {job} was not accepted")

    async def state(self, job):
        """@returns the state that an entry gives, None where none answers."""
        for entry in random.sample(range(len(self.entries)), len(self.entries)):
            status, answer = await self.ask("GET", job, entry)
            if status is not None and status != 503:
                self.record(f"GET {job} at {self.entries[entry].name}: {status} {answer}")
                return answer.get("state") if status == 200 else str(status)
        return None

    def started_after_done(self):
        """TWICE: starts of a task after a run of it has ended `done`, if that end
        is taken note of then or later; and overlapping runs of a task."""
        found = []
        by_task = {}
        for run in self.cluster.runs:
            by_task.setdefault(run.task, []).append(run)
        for task, runs in by_task.items():
            if runs[0].step.get("speculative"):
                continue
            for first in runs:
                for later in runs:
                    if later is first or later.begun < first.begun:
                        continue
                    if first.how == "done" and first.noted and later.begun > first.ended:
                        found.append(
                            f"{task}: run {first.number} on {first.worker.name} ended done "
                            f"at {first.ended - self.began:.3f}, noted at "
                            f"{first.noted - self.began:.3f}; run {later.number} started on "
                            f"{later.worker.name} at {later.begun - self.began:.3f}")
                    elif first.ended is None or later.begun < first.ended:
                        found.append(f"{task}: runs {first.number} and {later.number} "
                                     "at the same time")
        return found

    def close(self):
        for daemon in self.entries + self.agents:
            if daemon.child and daemon.child.poll() is None:
                daemon.child.send_signal(signal.SIGCONT)
                daemon.child.kill()
                daemon.child.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(folder, scenario, **options):
    """Runs `scenario(site, trouble)`, which returns the list of breaks of the rule."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    site = None
    try:
        site = Site(folder, **options)

        def stop(*_):
            raise SystemExit(NOT_RUN)

        signal.signal(signal.SIGTERM, stop)

        async def play():
            await site.start()
            return await scenario(site, trouble)

        broken = asyncio.run(play())
        for line in broken[:20]:
            site.record("BROKEN " + line)
        verdict = f"{len(broken)} breaks of the rule" if broken else "the rule held"
        site.record(verdict)
        print(verdict + (": " + broken[0] if broken else ""))
        return BROKEN if broken else HELD
    except CannotRun as error:
        print("could not run:", error)
        if site:
            site.record(f"could not run: {error}")
        return NOT_RUN
    finally:
        if site:
            site.close()
