"""Clients outside the limits cost neither a process nor its machine.

Each test brings one kind of client to every port (or one kind of worker to an
agent). It checks that the processes live, that their peak resident memory stays
under the memory of their settings and their descriptors under the maximum of
their settings, and that ordinary requests are answered afterwards.
"""

import json
import resource
import socket
import sys
import threading
import time
import unittest
from contextlib import ExitStack
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tools"))
from platform_site import HOST_HEADER, QUEUE, Node, PlatformSite, wait_for  # noqa: E402

MEMORY_MB = 64
MAX_FDS = 400
LIMITS = {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS}
# A crowd that leaves one thing each unfinished. More than `MAX_FDS`, so that a
# process that keeps them all exceeds its descriptors.
CROWD = 600
# What the clients of one port send; more than `MEMORY_MB`.
ATTACK_BYTES = 80 << 20
SENDERS = 4
BLOCK = 1 << 16
# In which a process accepts the crowd and reads what it has sent.
SETTLE_SECONDS = 0.7
STEPS = [{"count": 1, "cpu": 500, "mem_mb": 100, "estimate_ms": 200}]
HEAD = f"POST /nothing HTTP/1.1\r\nHost: {HOST_HEADER}\r\n".encode()
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


class Port:
    """A listener and the ordinary request that it answers."""

    def __init__(self, node, name, index, path, status):
        self.node, self.name, self.index = node, name, index
        self.path, self.status = path, status

    def connect(self):
        connection = socket.create_connection(("127.0.0.1", self.node.ports[self.index]), 5)
        connection.settimeout(1)
        return connection

    def answers(self):
        """@returns whether an ordinary request gets the answer that it always gets."""
        try:
            with self.connect() as connection:
                connection.sendall(f"GET {self.path} HTTP/1.1\r\nHost: {HOST_HEADER}\r\n"
                                   "Connection: close\r\n\r\n".encode())
                return int(connection.recv(4096).split(b" ")[1]) == self.status
        except (OSError, IndexError):
            return False


def ports_of(site):
    entry, agent = site.entries[0], site.agents[0]
    return [Port(entry, "callers", 1, QUEUE, 200), Port(entry, "readiness", 2, "/", 200),
            Port(entry, "peers", 0, "/nothing", 404), Port(entry, "metrics", 4, "/", 200),
            Port(agent, "agent's peers", 0, "/nothing", 404),
            Port(agent, "check-ins", 3, "/nothing", 404),
            Port(agent, "agent's metrics", 4, "/", 200)]


def peak_mb(node):
    """@returns the peak resident memory since `forget_peak`, in MB."""
    status = Path(f"/proc/{node.child.pid}/status").read_text()
    return next(int(line.split()[1]) for line in status.splitlines()
                if line.startswith("VmHWM")) // 1024


def forget_peak(node):
    Path(f"/proc/{node.child.pid}/clear_refs").write_text("5")


def descriptors(node):
    return len(list(Path(f"/proc/{node.child.pid}/fd").iterdir()))


def send_all(connection, parts):
    """Sends until the peer closes. @returns what it had answered until then."""
    try:
        for part in parts:
            connection.sendall(part)
    except OSError:
        pass
    try:
        return connection.recv(4096)
    except OSError:
        return b""


def endless(start, block):
    """@returns the parts of a message that goes on for `ATTACK_BYTES` in all."""
    yield start
    for _ in range(ATTACK_BYTES // SENDERS // len(block)):
        yield block


def filled(line):
    return line * (BLOCK // len(line))


class UntrustedClients(unittest.TestCase):

    def site(self):
        return PlatformSite(entries=1, hosts=1, limits=LIMITS)

    def assert_within_limits(self, node, what):
        self.assertIsNone(node.child.poll(), f"{what}: {node.name} ended")
        print(f"\n    {what}: {peak_mb(node)} MB, {descriptors(node)} descriptors", flush=True)
        self.assertLess(peak_mb(node), MEMORY_MB, f"{what}: resident MB of {node.name}")
        self.assertLess(descriptors(node), MAX_FDS, f"{what}: descriptors of {node.name}")

    def assert_all_answer(self, site):
        for port in ports_of(site):
            wait_for(f"{port.name} answer", port.answers, 15)
        site.submit(STEPS)

    def bring(self, attack):
        """Brings the clients to each port in turn and judges after each."""
        print(f"\n  {self.id().split('.')[-1]}", flush=True)
        with self.site() as site:
            for port in ports_of(site):
                with self.subTest(port=port.name), ExitStack() as kept_open:
                    forget_peak(port.node)
                    attack(port, kept_open)
                    self.assert_within_limits(port.node, port.name)
                    wait_for(f"{port.name} answer", port.answers, 15)
            self.assert_all_answer(site)

    def bring_senders(self, start, line):
        """Some clients, each of which sends one message without end."""
        def attack(port, _):
            def send():
                with port.connect() as connection:
                    send_all(connection, endless(start, filled(line)))

            senders = [threading.Thread(target=send) for _ in range(SENDERS)]
            for sender in senders:
                sender.start()
            for sender in senders:
                sender.join()

        self.bring(attack)

    def bring_crowd(self, parts):
        """Many clients that each send the same, then wait."""
        def attack(port, kept_open):
            for _ in range(CROWD):
                connection = kept_open.enter_context(port.connect())
                try:
                    for part in parts:
                        connection.sendall(part)
                except OSError:
                    pass  # Refused.
            time.sleep(SETTLE_SECONDS)

        self.bring(attack)

    def test_endless_trailers(self):
        self.bring_senders(CHUNKED + b"0\r\n", b"trailer: value\r\n")

    def test_an_endless_trailer(self):
        self.bring_senders(CHUNKED + b"0\r\ntrailer: ", b"v")

    def test_an_endless_chunk_extension(self):
        self.bring_senders(CHUNKED + b"1;name=", b"v")

    def test_an_endless_chunk_size(self):
        self.bring_senders(CHUNKED, b"0")

    def test_endless_header_fields(self):
        self.bring_senders(HEAD, b"name: value\r\n")

    def test_an_endless_target(self):
        self.bring_senders(b"GET /", b"t")

    def test_an_endless_chunked_body(self):
        self.bring_senders(CHUNKED, b"400\r\n" + b"x" * 1024 + b"\r\n")

    def test_header_fields_that_arrive_one_by_one(self):
        """The parser keeps each field that arrives complete, however many came before."""
        def attack(port, kept_open):
            connection = kept_open.enter_context(port.connect())
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection.sendall(HEAD)
            try:
                for _ in range(400):
                    time.sleep(0.0002)
                    connection.sendall(b"n: " + b"v" * 400 + b"\r\n")
            except OSError:
                pass
            self.assertIn(b" 431 ", connection.recv(4096))

        self.bring(attack)

    def test_a_last_chunk_that_arrives_byte_by_byte(self):
        """The parser asserted that the end of a body comes in one piece."""
        def attack(port, _):
            with port.connect() as connection:
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                connection.sendall(CHUNKED + b"0\r\n")
                for part in (b"\r", b"\n"):
                    time.sleep(0.1)
                    connection.sendall(part)
                self.assertIn(b"HTTP/1.1", connection.recv(4096))

        self.bring(attack)

    def test_many_half_bodies(self):
        self.bring_crowd([HEAD + b"Content-Length: 262144\r\n\r\n", b"x" * 200000])

    def test_many_half_headers(self):
        self.bring_crowd([HEAD, b"name: " + b"v" * 14000])

    def test_many_headers_of_short_fields(self):
        self.bring_crowd([HEAD + b"Content-Length: 10\r\n" + b"a:b\r\n" * 3000 + b"\r\n"])

    def test_dense_values(self):
        """A decoded value occupies many times its text."""
        targets = {"callers": QUEUE + "a" * 16, "peers": "/entry/store-job/" + "a" * 16,
                   "agent's peers": "/host/sync",
                   "check-ins": "/v1/Instances.Heartbeat/i-w0"}

        def attack(port, _):
            for unit in (b"[],", b"{},", b"1,", b'{"":1},', b'{"a":{}},'):
                for size in (1 << 20, 2 << 20, 4 << 20):
                    text = unit * ((size - 100) // len(unit))
                    body = b'{"spec":"","steps":[' + text + b"1]}"
                    head = (f"POST {targets.get(port.name, '/')} HTTP/1.1\r\n"
                            f"Host: {HOST_HEADER}\r\nContent-Length: {len(body)}\r\n\r\n")
                    with port.connect() as connection:
                        send_all(connection, [head.encode(), body])

        self.bring(attack)

    def test_many_idle_connections(self):
        self.bring_crowd([])

    def test_many_unread_responses(self):
        request = f"GET {QUEUE} HTTP/1.1\r\nHost: {HOST_HEADER}\r\n\r\n".encode()

        def attack(port, kept_open):
            for _ in range(CROWD // 4):
                connection = kept_open.enter_context(port.connect())
                connection.setblocking(False)
                try:
                    connection.send(request * 1000)
                except OSError:
                    pass  # Refused, or as much as the connection takes.
            time.sleep(SETTLE_SECONDS)

        self.bring(attack)

    def test_many_requests_that_wait_for_the_store(self):
        print(f"\n  {self.id().split('.')[-1]}", flush=True)
        step = dict(STEPS[0], image="i" * 250, requires="l" * 250)
        body = json.dumps({"spec": "0.1 500", "steps": [step] * 64}).encode() + b" " * 200000
        with self.site() as site, ExitStack() as kept_open:
            entry, callers = site.entries[0], ports_of(site)[0]
            forget_peak(entry)
            site.store.mode = "silent"
            for number in range(CROWD):
                connection = kept_open.enter_context(callers.connect())
                try:
                    connection.sendall(
                        f"POST {QUEUE}{number:016x} HTTP/1.1\r\nHost: {HOST_HEADER}\r\n"
                        "Zinniacart-Deadline-Ms: 9223372036854775807\r\n"
                        f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
                except OSError:
                    pass  # Refused.
                if number % 50 == 0:
                    self.assertLess(descriptors(entry), MAX_FDS)
            time.sleep(SETTLE_SECONDS)
            self.assert_within_limits(entry, "callers")
            for port in ports_of(site)[1:]:
                wait_for(f"{port.name} answer", port.answers, 15)
            site.store.mode = None
            self.assert_all_answer(site)


class Answerer:
    """A server that answers every request with the same parts, at most `ATTACK_BYTES`."""

    def __init__(self, start, block):
        self.start, self.block = start, block
        self.left = ATTACK_BYTES
        self.asked = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._answer, args=(connection,), daemon=True).start()

    def _answer(self, connection):
        with connection:
            try:
                connection.recv(1 << 16)
                self.asked += 1
                connection.sendall(self.start)
                while self.left > 0:
                    self.left -= len(self.block)
                    connection.sendall(self.block)
            except OSError:
                pass


class UntrustedWorkers(unittest.TestCase):

    def bring(self, start, line):
        print(f"\n  {self.id().split('.')[-1]}", flush=True)
        worker = Answerer(start, filled(line))
        with PlatformSite(entries=1, hosts=1, limits=LIMITS) as site:
            agent = Node(site, "agent", "host-odd", "zone-0",
                         {"app": f"127.0.0.1:{worker.port}", "service": "orders"})
            agent.start_first()
            site.agents.append(agent)
            site.workers[0].control = f"127.0.0.1:{agent.ports[3]}"
            wait_for("the worker is asked", lambda: worker.asked)
            until = time.monotonic() + 6
            while worker.left > 0 and time.monotonic() < until:
                time.sleep(0.1)
            self.assertIsNone(agent.child.poll())
            print(f"\n    {peak_mb(agent)} MB, {descriptors(agent)} descriptors", flush=True)
            self.assertLess(peak_mb(agent), MEMORY_MB)
            self.assertLess(descriptors(agent), MAX_FDS)
            for port in ports_of(site)[4:]:
                port.node = agent
                wait_for(f"{port.name} answer", port.answers, 15)
        worker.listener.close()

    def test_endless_trailers(self):
        self.bring(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", b"name: value\r\n")

    def test_an_endless_chunk_extension(self):
        self.bring(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;name=", b"v")

    def test_an_endless_body(self):
        self.bring(b"HTTP/1.1 200 OK\r\n\r\n", b"x")

    def test_endless_header_fields(self):
        self.bring(b"HTTP/1.1 200 OK\r\n", b"name: value\r\n")

    def test_endless_interim_responses(self):
        self.bring(b"", b"HTTP/1.1 100 Continue\r\n\r\n")


if __name__ == "__main__":
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    unittest.main()
