"""Starts the project's programs on loopback, with stand-ins around them.

The programs are started with the commands of `deploy/system.toml`, each on a
loopback address of its own, with settings like those of the platform's small
deployments. Store: `standins/platform_store.py`. Workers: `worker.py`.
"""

import http.client
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
import threading
import time
import tomllib
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path[:0] = [str(ROOT / "standins"), str(Path(__file__).resolve().parent)]
import platform_store  # noqa: E402
import worker as worker_module  # noqa: E402

HOST = "site.example"
ZONES = ["zone-a", "zone-b", "zone-c"]
SERVICE = "desk"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LONGEST_SECONDS = 112
CASE = Path(sys.argv[0]).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# As the settings pages give them for a small deployment.
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
          "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
          "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000,
          "cold_overshoot": 1.5, "cold_slack": 5, "evacuate_ms": 5000, "recovery_s": 12,
          "hold_max_ms": 10000, "stop_ms": 900, "gang_ms": 3000, "cancel_ms": 3000,
          "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
          "far_factor": 1.5, "checkpoint_s": 0.5, "restore_ms": 100, "notice_ms": 4500,
          "move_s": 1.5, "maintenance_s": 2, "require_fence": True, "lease_ms": 3000,
          "thaw_ms": 300, "pace_ms": 100, "harm_ms": 4000}
PORTS = {"front": 8161, "app": 8165, "control": 8166, "ready": 8167, "peers": 7720,
         "metrics": 9464}


class CouldNotRun(Exception):
    pass


class Shared:
    """What all workers share: a lock, every run ever, and the record."""

    def __init__(self, record_path):
        self.lock = threading.RLock()
        self.changed = threading.Condition(self.lock)
        self.all_runs = []
        self.lines = []
        self.record_path = record_path
        self.began = time.monotonic()

    def record(self, text):
        self.lines.append(f"{time.monotonic() - self.began:8.3f} {text}")

    def write(self):
        with self.lock:
            runs = [run.row() for run in self.all_runs]
        offset = f"times of runs minus {self.began:.3f} are those of the lines above"
        Path(self.record_path).write_text("\n".join(self.lines + ["", offset] + runs) + "\n")


def free_network():
    """@returns a prefix of loopback addresses on which all used ports are free."""
    for _ in range(50):
        prefix = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}."
        try:
            for last in range(1, 20):
                for port in PORTS.values():
                    with socket.socket() as probe:
                        probe.bind((f"{prefix}{last}", port))
            return prefix
        except OSError:
            continue
    raise CouldNotRun("no free loopback addresses")


class Daemon:
    def __init__(self, deployment, role, name, zone, ip, cpu_share, extra):
        self.deployment, self.role, self.name, self.ip = deployment, role, name, ip
        self.child = None
        entry = role == "entry"
        settings = {
            "node_name": name, "role": role, "machine_class": "front" if entry else "side",
            "serves": ["front" if entry else "side"], "ip": ip, "zone": zone, "region": "r",
            "zones": {one: "r" for one in ZONES},
            "listen": ({"front": f"{ip}:{PORTS['front']}", "ready": f"{ip}:{PORTS['ready']}"}
                       if entry else {"control": f"{ip}:{PORTS['control']}"}),
            "internal_ports": [PORTS["peers"], PORTS["peers"] + 15], "seeds": [],
            "bootstrap": True, "fault_counted": False,
            "limits": {"cpu_share": cpu_share, "cores": 1, "memory_mb": 260,
                       "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
            "discovery": "local", "entry": "vip", "heartbeat_ms": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "places",
                          "platform", "advice", "upkeep", "sharing"],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS, "orders": "call",
            "platform": {"address": deployment.store_address, "form": "kv",
                         "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
                         "value_bytes": 1048576, "ttl_min_ms": 1000}, **extra}
        self.settings_path = Path(deployment.folder) / f"{name}.json"
        self.settings_path.write_text(json.dumps(settings))
        self.log_path = Path(deployment.folder) / f"{name}.log"

    def start(self):
        command = self.deployment.commands[self.role].split()
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["ZINNIACART_BOOT"] = str(self.settings_path)
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen(command, cwd=ROOT, env=environment,
                                          stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.deployment.shared.record(f"{self.name} is started")

    def kill(self):
        self.child.kill()
        self.child.wait()
        self.deployment.shared.record(f"{self.name} is killed")

    def end(self):
        if self.child and self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            self.child.wait()


class Deployment:
    """Three entries and some workers with their agents."""

    def __init__(self, workers=3, cores=4, entries=3, labels=None, routes=None):
        self.shared = Shared(os.environ.get("RECORD") or CASE / "record.txt")
        self.record("with trouble" if TROUBLE else "without trouble")
        self.folder = tempfile.mkdtemp(prefix="zinniacart-review-")
        roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self.commands = {name: role["run"] for name, role in roles.items()}
        for command in self.commands.values():
            if not (ROOT / command.split()[0]).exists():
                raise CouldNotRun(f"{command.split()[0]} is not built")
        self.prefix = free_network()
        self.store = platform_store.Store()
        self.store_server = platform_store.serve(self.store)
        self.store_address = "127.0.0.1:%d" % self.store_server.server_address[1]
        self.routes = routes or [{"prefix": "/jobs/", "max_attempts": 4, "priority": 0}]
        self.configure(1)
        self.entries, self.agents, self.workers = [], [], []
        for number in range(entries):
            self.entries.append(Daemon(self, "entry", f"front-{number}", ZONES[number % 3],
                                       f"{self.prefix}{number + 1}", 0.25, {}))
        for number in range(workers):
            ip, zone = f"{self.prefix}{number + 8}", ZONES[number % 3]
            worker = worker_module.Worker(
                f"w{number}", zone, ip, SERVICE, cores,
                labels[number] if labels else ["a", f"r{number // 3}"], self.shared)
            worker.control = f"{ip}:{PORTS['control']}"
            self.workers.append(worker)
            self.agents.append(Daemon(self, "agent", f"side-{number}", zone, ip, 0.15,
                                      {"app": worker.address, "service": SERVICE}))

    def __enter__(self):
        watchdog = threading.Timer(LONGEST_SECONDS, self._give_up)
        watchdog.daemon = True
        watchdog.start()
        for daemon in self.entries + self.agents:
            daemon.start()
        self.wait("the entries are ready", lambda: all(map(self.is_ready, self.entries)))
        self.wait("an entry owns the scheduling", self.owner)
        # A small job on each worker shows that the site serves.
        probe = self.submit([{"count": len(self.workers), "cpu": 100, "s": 0.1,
                              "anti_affinity": 1}])
        self.wait("the site serves", lambda: self.state(probe) == "completed")
        return self

    def _give_up(self):
        print("could not run: it took too long")
        self.__exit__()
        os._exit(COULD_NOT_RUN)

    def __exit__(self, *_):
        for daemon in self.entries + self.agents:
            daemon.end()
        self.shared.write()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def record(self, text):
        self.shared.record(text)

    def wait(self, what, check, seconds=20):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            result = check()
            if result:
                return result
            time.sleep(0.05)
        raise CouldNotRun(f"in {seconds} s it did not happen that {what}")

    def configure(self, version):
        self.store.put("op/config", {
            "version": version,
            "routes": [{"name": "r-" + route["prefix"].strip("/"), "host": HOST,
                        "kind": "unsafe", "timeout_ms": 3000, "objective_ms": 300,
                        "service": SERVICE, "stretch": 1.5, **route}
                       for route in self.routes],
            "services": [{"name": SERVICE, "rejects_overload": True, "spare": False}],
            "limits": {}})

    def is_ready(self, entry):
        return self.request(entry, "GET", "/v1/ready", port="ready")[0] == 200

    def owner(self):
        record = self.store.value("zinniacart/entries/owner")
        names = {entry.name: entry for entry in self.entries}
        return names.get(record["entry"]) if record else None

    def request(self, entry, method, path, body=None, port="front", timeout=3):
        """@returns status and body, or None and the reason if no answer came."""
        connection = http.client.HTTPConnection(entry.ip, PORTS[port], timeout=timeout)
        try:
            connection.request(method, path, json.dumps(body) if body else None,
                               {"Host": HOST, "Content-Type": "application/json",
                                "Zinniacart-Deadline-Ms": str(timeout * 1000)})
            response = connection.getresponse()
            text = response.read()
            return response.status, json.loads(text) if text else {}
        except (OSError, http.client.HTTPException, ValueError) as error:
            return None, str(error)
        finally:
            connection.close()

    def ask(self, method, path, body=None, log=True):
        """Sends a request as a client does: again at another entry while it is
        not known what became of it."""
        answer = None, "no entry answered"
        for attempt in range(5):
            entry = random.choice([e for e in self.entries if e.child.poll() is None])
            answer = self.request(entry, method, path, body)
            if log:
                self.record(f"client: {method} {path} at {entry.name}: {answer}")
            if answer[0] not in (None, 502, 504, 503, 429):
                break
            time.sleep(0.2)
        return answer

    def submit(self, steps, prefix="/jobs/", name=None, spec_bytes=0, **job):
        """Submits a job whose steps also tell the stand-ins what tasks do.
        @returns its id; it was accepted."""
        name = name or secrets.token_hex(8)
        keys = ("s", "end")
        declared = [{"mem_mb": 64, "estimate_ms": int(step["s"] * 1000),
                     **{key: value for key, value in step.items() if key not in keys}}
                    for step in steps]
        shapes = [{key: step[key] for key in ("cpu", "s", "end", "count", "gang")
                   if key in step} for step in steps]
        status, answer = self.ask("POST", prefix + name, {
            "spec": json.dumps(shapes).ljust(spec_bytes), "steps": declared, **job})
        if status != 200:
            raise CouldNotRun(f"a job was not accepted: {status} {answer}")
        return name

    def state(self, name, prefix="/jobs/", log=False):
        status, body = self.ask("GET", prefix + name, log=log)
        return body.get("state") if status == 200 else status

    def cancel(self, name, prefix="/jobs/"):
        return self.ask("DELETE", prefix + name)[0]

    def runs_of(self, name):
        with self.shared.lock:
            return [run for run in self.shared.all_runs if run.task.startswith(name)]

    def running_of(self, name):
        return [run for run in self.runs_of(name) if run.ended is None]

    def room(self, cpu, label=None):
        """@returns how many tasks of `cpu` millicores would fit on the workers now."""
        with self.shared.lock:
            return sum(max(0, worker.capacity["cpu"] - worker.used()) // cpu
                       for worker in self.workers if not worker.is_down()
                       and (label is None or label in worker.labels))

    def share_in_use(self):
        with self.shared.lock:
            return (sum(worker.used() for worker in self.workers)
                    / sum(worker.capacity["cpu"] for worker in self.workers))


def main(play):
    """Runs a case: `play` returns HELD or BROKEN. Does not return."""
    try:
        code = play()
    except CouldNotRun as error:
        print("could not run:", error)
        code = COULD_NOT_RUN
    except Exception:  # A fault of the script is no result.
        traceback.print_exc()
        code = COULD_NOT_RUN
    print({HELD: "the rule held", BROKEN: "the rule was broken"}.get(code, "no result"))
    sys.stdout.flush()
    os._exit(code)
