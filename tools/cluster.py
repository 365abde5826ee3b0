"""Starts and stops a small site of real processes on loopback.

Used by the demonstration, the process tests and the capacity measurement.
The kernel chooses every port. Nothing here decides anything for the system.
"""

import http.client
import json
import os
import re
import signal
import socket
import subprocess
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BUILD = Path(os.environ.get("ZINNIACART_BUILD", ROOT / "build"))
READY_PATIENCE_SECONDS = 60


class Process:
    """One child process and the ports of its ready line."""

    def __init__(self, command, log_dir, name):
        self.name = name
        self.log = open(Path(log_dir) / f"{name}.log", "wb")
        self.child = subprocess.Popen(
            [str(part) for part in command], stdout=subprocess.PIPE, stderr=self.log
        )
        line = self.child.stdout.readline().decode()
        if not line.startswith("ready"):
            raise RuntimeError(f"{name} did not start; see {self.log.name}")
        self.ports = {k: int(v) for k, v in re.findall(r"(\w+)=(\d+)", line)}

    def signal(self, number):
        self.child.send_signal(number)

    def kill(self):
        self.child.kill()
        self.child.wait()

    def stop(self):
        """Asks for a planned stop and waits for its end."""
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.terminate()
        code = self.child.wait()
        self.close()
        return code

    def close(self):
        self.child.stdout.close()
        self.log.close()


class Host:
    """One host: its worker, its agent and its backend servers."""

    def __init__(self, name, domain):
        self.name = name
        self.domain = domain
        self.worker = None
        self.agent = None
        self.backends = []
        self.relay = None


class Relay:
    """A TCP relay whose open connections can go silent while new ones work."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.target = None
        self.epoch = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self):
        """From now on nothing passes on the connections that are open."""
        self.epoch += 1

    def _accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
                far = socket.create_connection(("127.0.0.1", self.target))
            except OSError:
                return
            for source, sink in ((near, far), (far, near)):
                sink.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(target=self._pump, args=(source, sink, self.epoch),
                                 daemon=True).start()

    def _pump(self, source, sink, epoch):
        try:
            while data := source.recv(65536):
                if epoch == self.epoch:
                    sink.sendall(data)
        except OSError:
            pass
        if epoch == self.epoch:
            for end in (source, sink):
                try:
                    end.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass


class Site:
    """A store, entries and hosts; everything ends with the context."""

    def __init__(self, shards=8, drain_ms=500):
        self.directory = tempfile.TemporaryDirectory(prefix="zinniacart-")
        self.logs = self.directory.name
        self.shards = shards
        self.drain_ms = drain_ms
        self.entries = []
        self.hosts = []
        self.processes = []
        self.store = self.spawn("store", [BUILD / "standins/standin-store"])

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in reversed(self.processes):
            if process.child.poll() is None:
                process.signal(signal.SIGCONT)
                process.child.kill()
                process.child.wait()
            process.close()
        if not os.environ.get("ZINNIACART_KEEP_LOGS"):
            self.directory.cleanup()

    def spawn(self, name, command):
        process = Process(command, self.logs, f"{name}-{len(self.processes)}")
        self.processes.append(process)
        return process

    def add_entry(self, name, domain, callers_port=0, threads=512):
        entry = self.spawn(
            name,
            [BUILD / "packages/daemon/zinniacartd", "--role=entry", f"--name={name}",
             f"--domain={domain}", f"--store=127.0.0.1:{self.store.ports['port']}",
             f"--shards={self.shards}", f"--drain-ms={self.drain_ms}",
             f"--callers=127.0.0.1:{callers_port}", f"--caller-threads={threads}"],
        )
        self.entries.append(entry)
        return entry

    def add_host(self, name, domain, backends=1, service="echo", service_time_ms=0,
                 worker_options=(), relay=False):
        host = Host(name, domain)
        if relay:
            host.relay = Relay()
        host.worker = self.spawn(
            f"{name}-worker", [BUILD / "standins/standin-worker", *worker_options])
        self.start_agent(host)
        for number in range(backends):
            self.add_backend(host, f"{name}-b{number}", service, service_time_ms)
        self.hosts.append(host)
        return host

    def start_agent(self, host):
        host.agent = self.spawn(
            f"{host.name}-agent",
            [BUILD / "packages/daemon/zinniacartd", "--role=agent", f"--name={host.name}",
             f"--domain={host.domain}", f"--drain-ms={self.drain_ms}",
             f"--worker=127.0.0.1:{host.worker.ports['port']}",
             *([f"--advertise=127.0.0.1:{host.relay.port}"] if host.relay else []),
             *[f"--entry=127.0.0.1:{e.ports['rpc']}" for e in self.entries]],
        )
        if host.relay:
            host.relay.target = host.agent.ports["rpc"]

    def add_backend(self, host, name, service, service_time_ms):
        backend = self.spawn(
            name,
            [BUILD / "standins/standin-backend", f"--name={name}", f"--service={service}",
             f"--agent=127.0.0.1:{host.agent.ports['local']}",
             f"--service-time-ms={service_time_ms}"],
        )
        host.backends.append(backend)
        return backend

    def cli(self, *arguments, entry=0, input_text=None, check=True):
        """Runs the operators' command line; returns (exit code, parsed JSON or text)."""
        result = subprocess.run(
            [str(BUILD / "packages/cli/zinniacart"), "--output=json",
             f"--entry=127.0.0.1:{self.entries[entry].ports['operators']}", *arguments],
            input=input_text, capture_output=True, text=True, check=False)
        if check and result.returncode != 0:
            raise RuntimeError(f"{arguments}: {result.returncode}: {result.stderr}")
        try:
            return result.returncode, json.loads(result.stdout)
        except json.JSONDecodeError:
            return result.returncode, result.stdout + result.stderr

    def apply(self, body, entry=0, options=(), check=True):
        return self.cli("apply", *options, entry=entry, input_text=json.dumps(body),
                        check=check)

    def job(self, team, name, entry=0):
        """The job's status, or None while no entry can tell."""
        code, body = self.cli("get", f"job/{team}/{name}", entry=entry, check=False)
        return body if code == 0 else None

    def call(self, method, path, body=None, headers=None, entry=0, timeout=40):
        """One caller's request; returns (status, outcome header, body)."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.entries[entry].ports["callers"], timeout=timeout)
        try:
            connection.request(method, path, body=body, headers=headers or {})
            response = connection.getresponse()
            text = response.read().decode(errors="replace")
            return response.status, response.getheader("Zinniacart-Outcome"), text
        finally:
            connection.close()

    def store_faults(self, query):
        self.http(self.store.ports["port"], "POST", f"/v1/faults?{query}")

    def store_stats(self):
        return json.loads(self.http(self.store.ports["port"], "GET", "/v1/stats"))

    def ledger(self, backend):
        """How often a backend server ran each idempotency key."""
        return json.loads(self.http(backend.ports["port"], "GET", "/ledger"))

    def worker_tasks(self, host):
        return json.loads(self.http(host.worker.ports["port"], "GET", "/v1/tasks"))

    @staticmethod
    def http(port, method, path):
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=40)
        try:
            connection.request(method, path)
            return connection.getresponse().read().decode()
        finally:
            connection.close()


def wait_for(what, condition, patience=READY_PATIENCE_SECONDS):
    """Waits for a state, generously: how long it takes is never the verdict."""
    give_up = time.monotonic() + patience
    while time.monotonic() < give_up:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise TimeoutError(f"never came true: {what}")
