"""Runs zinniacart's daemons on loopback against stand-ins for the platform."""

import http.client
import json
import os
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "standins"))
import platform_machines  # noqa: E402
import platform_store  # noqa: E402
import platform_worker  # noqa: E402

NODE = Path(os.environ.get("ZINNIACART_BUILD", ROOT / "build")) / "platform/zinniacart-node"
HOST_HEADER = "site.example"
QUEUE = "/orders/"
PATIENCE_SECONDS = 30


def free_ports(count):
    """Reserves ports that the kernel chooses; they are free once returned."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def wait_for(what, check, patience=PATIENCE_SECONDS):
    """Polls `check` until it holds; how long that takes is not judged."""
    until = time.monotonic() + patience
    while time.monotonic() < until:
        result = check()
        if result:
            return result
        time.sleep(0.05)
    raise AssertionError(f"in {patience} s it did not happen that {what}")


class Node:
    """One daemon and its settings."""

    def __init__(self, site, role, name, zone, extra):
        self.role, self.name = role, name
        self.folder = Path(site.folder)
        self.site_limits = site.limits
        self.site_settings = {"zone": zone, "platform": {
            "address": site.store_address, "ttl_min_ms": 1000}, **extra}
        self.settings_path = self.folder / f"{name}.json"
        self.log_path = self.folder / f"{name}.log"
        self.child = None
        self.choose_ports()

    def choose_ports(self):
        self.ports = free_ports(5)
        self.metrics_port = self.ports[4]
        settings = {
            "node_name": self.name, "ip": "127.0.0.1",
            # Agents listen on the second of these ports, entries on the first.
            "internal_ports": [self.ports[0] - (self.role == "agent"), self.ports[0] + 15],
            "listen": {}, **self.site_settings,
            "bounds": {"grace_s": 6, "hold_max_ms": 10000,
                       **self.site_settings.get("bounds", {})}}
        settings["limits"] = {"cpu_share": 0.5, **self.site_limits,
                              **self.site_settings.get("limits", {})}
        if self.role == "entry":
            settings["listen"] = {"front": f"127.0.0.1:{self.ports[1]}",
                                  "ready": f"127.0.0.1:{self.ports[2]}"}
        else:
            settings["listen"] = {"control": f"127.0.0.1:{self.ports[3]}"}
        self.settings_path.write_text(json.dumps(settings))

    def start_first(self):
        """Starts; a port that another process has taken meanwhile is replaced."""
        self.start()
        while not self.listens():
            if self.child.poll() is not None:
                if "Address already in use" not in self.log_path.read_text():
                    raise RuntimeError(f"{self.name} did not start; see {self.log_path}")
                self.choose_ports()
                self.start()
            time.sleep(0.02)

    def listens(self):
        port = self.ports[2 if self.role == "entry" else 0]
        with socket.socket() as probe:
            return probe.connect_ex(("127.0.0.1", port)) == 0

    def start(self):
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen(
                [str(NODE), self.role, "--settings", str(self.settings_path),
                 "--metrics-port", str(self.metrics_port)],
                stdout=log, stderr=log)

    def kill(self):
        self.child.kill()
        self.child.wait()

    def stop(self):
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.terminate()
        return self.child.wait()


class PlatformSite:
    """A store, some workers with their agents, some entries."""

    def __init__(self, entries=2, hosts=2, cores=4, cpu_share=0.5, limits=None,
                 machines=False):
        """@param limits further limits in the settings of every process.
        @param machines whether there is a machine service; one machine a host."""
        self.limits = limits or {}
        self.machines = None
        self.entry_settings = {}
        self.folder = tempfile.mkdtemp(prefix="zinniacart-")
        self.store = platform_store.Store()
        port = platform_store.serve(self.store).server_address[1]
        self.store_address = f"127.0.0.1:{port}"
        self.configure(1)
        if machines:
            self.serve_machines()
        self.workers, self.agents, self.entries = [], [], []
        self.last_headers = {}
        self.doors = []  # The way of each entry to the store; `mode` is its fault.
        for number in range(hosts):
            worker = platform_worker.Worker(f"w{number}", f"zone-{number}", "orders", cores)
            worker.serve()
            agent = Node(self, "agent", f"host-{number}", worker.zone,
                         {"app": f"127.0.0.1:{worker.port}", "service": "orders"})
            agent.start_first()
            worker.control = f"127.0.0.1:{agent.ports[3]}"
            self.workers.append(worker)
            if self.machines:
                self.machines.add(f"m-{worker.name}", worker)
            self.agents.append(agent)
        for _ in range(entries):
            self.add_entry(cpu_share)
        try:
            for number in range(entries):
                wait_for("the entry is ready", lambda: self.ready(number))
            wait_for("somebody owns the scheduling", self.owner)
        except AssertionError:
            self.__exit__()
            raise

    def serve_machines(self):
        self.machines = platform_machines.Machines(self.store)
        port = platform_machines.serve(self.machines).server_address[1]
        self.entry_settings = {
            "cloud_api": {"address": f"127.0.0.1:{port}",
                          "rate_per_s": self.machines.rate_per_s,
                          "duty_per_s": self.machines.duty_per_s},
            "bounds": {"maintenance_s": self.machines.maintenance,
                       "move_s": self.machines.move_seconds, "lease_ms": 3000,
                       "notice_ms": 1000, "require_fence": True}}

    def wave(self, number, machines, duration=60, max_count=1):
        """Asks for an upkeep wave as operators do."""
        self.store.put(f"op/wave/{number}", {"wave": number, "machines": machines,
                                             "duration_s": duration, "max_count": max_count})

    def wave_state(self, number):
        status = self.store.value(f"status/wave/{number}")
        return status["state"] if status else None

    def metrics(self, entry):
        """@returns the metrics of an entry as text."""
        connection = http.client.HTTPConnection("127.0.0.1", entry.metrics_port, timeout=4)
        try:
            connection.request("GET", "/metrics")
            return connection.getresponse().read().decode()
        finally:
            connection.close()

    def add_entry(self, cpu_share):
        """Starts one more entry that may use this share of a core. @returns it."""
        number = len(self.entries)
        door = platform_store.serve(self.store)
        self.doors.append(door.RequestHandlerClass)
        entry = Node(self, "entry", f"entry-{number}", f"zone-{number}",
                     {"limits": {"cpu_share": cpu_share},
                      "platform": {"address": f"127.0.0.1:{door.server_address[1]}",
                                   "ttl_min_ms": 1000}, **self.entry_settings})
        entry.start_first()
        self.entries.append(entry)
        return entry

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for node in self.entries + self.agents:
            if node.child.poll() is None:
                node.kill()

    def configure(self, version, queues=(QUEUE,), priorities=None):
        """Declares the queues; `priorities` gives those that are not 0."""
        self.store.put("op/config", {
            "version": version,
            "routes": [{"name": f"queue-{prefix}", "host": HOST_HEADER, "prefix": prefix,
                        "kind": "unsafe", "timeout_ms": 3000, "objective_ms": 300,
                        "priority": (priorities or {}).get(prefix, 0),
                        "service": "orders", "max_attempts": 2,
                        "stretch": 1.5} for prefix in queues],
            "services": [{"name": "orders", "rejects_overload": True, "spare": False}],
            "limits": {}})

    def owner(self):
        record = self.store.value("zinniacart/entries/owner")
        names = {entry.name: entry for entry in self.entries}
        return names.get(record["entry"]) if record else None

    def ready(self, entry):
        try:
            return self._request(self.entries[entry].ports[2], "GET", "/v1/ready")[0] == 200
        except OSError:
            return False

    def call(self, method, path, body=None, entry=0, timeout=4, host=HOST_HEADER):
        """@returns status and body, or (None, reason) where no answer came."""
        try:
            return self._request(self.entries[entry].ports[1], method, path, body, timeout,
                                 host)
        except (OSError, http.client.HTTPException) as error:
            return None, str(error)

    def submit(self, steps, seconds=0.2, entry=0, job=None):
        """Submits until it is accepted. @returns the job's id."""
        job = job or secrets.token_hex(8)
        millicores = steps[0]["cpu"]
        body = {"spec": f"{seconds} {millicores}", "steps": steps}
        wait_for("the job is accepted", lambda: self.call(
            "POST", QUEUE + job, body, entry)[0] == 200)
        return job

    def state(self, job, entry=0):
        status, body = self.call("GET", QUEUE + job, entry=entry)
        return body.get("state") if status == 200 else None

    def runs(self, job):
        return [run for worker in self.workers for run in worker.log
                if run.task.startswith(job)]

    def _request(self, port, method, path, body=None, timeout=4, host=HOST_HEADER):
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
        try:
            connection.request(method, path, json.dumps(body) if body else None,
                               {"Host": host, "Content-Type": "application/json",
                                "Zinniacart-Deadline-Ms": str(int(timeout * 1000))})
            response = connection.getresponse()
            text = response.read()
            self.last_headers = dict(response.getheaders())
            return response.status, json.loads(text) if text else {}
        finally:
            connection.close()
