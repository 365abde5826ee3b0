#!/usr/bin/env python3
"""Judges whether entries answer callers by the configuration that must be in force.

Starts the daemons on loopback with stand-ins for the store and the workers, gives
them jobs, and changes the routes all the while. Each entry is asked on kept and on
new connections for routes that were just added or removed. A request that is sent
later than `config_apply_ms` after a version was acknowledged must not be answered as
only an older version allows, and answers must not go back to an older version.

The entries can be delayed: by an allotment of processor time in each tenth of a
second, by other busy processes, or by pauses. Requests near a pause are counted
apart, because the rule does not hold for a process that is suspended.
"""

import argparse
import asyncio
import base64
import bisect
import collections
import datetime
import json
import multiprocessing
import os
import random
import shutil
import signal
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "standins"), str(ROOT / "tools")]
import platform_site  # noqa: E402
import platform_store  # noqa: E402
import platform_worker  # noqa: E402

# The platform's bounds.
CONFIG_APPLY_SECONDS = 2.0
ROLLBACK_SLACK_SECONDS = 0.25
CONTACT_SECONDS = 3.0
HISTORY_SECONDS = 20

JOB_PREFIX, SERVICE, HOST = "/orders/", "orders", platform_site.HOST_HEADER
REQUEST_TIMEOUT_SECONDS = 4.0
JOB_DEADLINE_SECONDS = 3.0
ALLOTMENT_WINDOW_SECONDS = 0.1
PROBE_SECONDS = 0.1
MOST_ROUTES = 40
MOST_OPEN_REQUESTS = 400

# Kinds of jobs: per second, steps, tasks a step, seconds of a task, millicores.
JOB_KINDS = [(6.96, (1, 2), 6, 0.64, 240), (0.898, (2,), 8, 2.7, 1800)]
PERPETUAL_PER_SECOND, PERPETUAL_TASKS, PERPETUAL_MILLICORES = 0.05, 6, 400

Version = collections.namedtuple("Version", "number routes sent acknowledged")
Asked = collections.namedtuple("Asked", "entry route sent answered status kept")


class IndexedStore(platform_store.Store):
    """The store with a bounded history, so that a watch's cost stays constant."""

    def watch(self, prefix, after, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        with self.changed:
            while True:
                if after < self.oldest:
                    return 410, {}
                first = bisect.bisect_right(self.history, after,
                                            key=lambda event: event["revision"])
                events = [event for event in self.history[first:]
                          if event["key"].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "as_of": self.revision}
                self.changed.wait(left)

    def trim(self):
        """Forgets what is older than `HISTORY_SECONDS`, when called that often."""
        with self.changed:
            if getattr(self, "trimmed_to", None):
                first = bisect.bisect_right(self.history, self.trimmed_to,
                                            key=lambda event: event["revision"])
                del self.history[:first]
                self.oldest = self.trimmed_to
            self.trimmed_to = self.revision


def manifest(version, routes):
    return {"version": version,
            "routes": [{"name": f"queue-{prefix}", "host": HOST, "prefix": prefix,
                        "kind": "unsafe", "timeout_ms": 3000, "objective_ms": 300,
                        "priority": 0, "service": SERVICE, "max_attempts": 2,
                        "stretch": 1.5} for prefix in sorted(routes)],
            "services": [{"name": SERVICE, "rejects_overload": True, "spare": False}],
            "limits": {}}


class Operator:
    """Adds and removes routes at random times and records each version."""

    def __init__(self, store, seed, gaps):
        self.store, self.gaps = store, gaps
        self.random = random.Random(f"operator {seed}")
        self.routes, self.dropped, self.number, self.next_route = {JOB_PREFIX}, [], 0, 0
        self.record = []
        self.change(add=0, drop=0)

    def change(self, add, drop):
        can_drop = sorted(self.routes - {JOB_PREFIX})
        for route in self.random.sample(can_drop, min(drop, len(can_drop))):
            self.routes.remove(route)
            self.dropped.append(route)
        for _ in range(add):
            if len(self.routes) >= MOST_ROUTES:
                break
            # Some routes come back; most names are used once.
            if self.dropped and self.random.random() < 0.2:
                self.routes.add(self.dropped.pop(self.random.randrange(len(self.dropped))))
            else:
                self.next_route += 1
                self.routes.add(f"/q{self.next_route}-{self.random.randrange(10**6)}/")
        self.number += self.random.randint(1, 5)
        sent = time.monotonic()
        self.store.put("op/config", manifest(self.number, self.routes))
        self.record.append(
            Version(self.number, frozenset(self.routes), sent, time.monotonic()))

    def step(self):
        """Changes the routes once. @returns the seconds until the next change."""
        self.change(self.random.randint(0, 3), self.random.randint(0, 2))
        return self.random.uniform(*self.gaps)


def run_store(pipe, seed, gaps):
    """A process: the store and its operator. Commands: "go", "change"."""
    # Each answer is one segment; split ones wait for the peer's delayed ACK.
    platform_store.Handler.wbufsize = -1
    platform_store.Handler.disable_nagle_algorithm = True
    store = IndexedStore()
    operator = Operator(store, seed, gaps)
    address = platform_store.serve(store).server_address
    pipe.send((address[1], operator.record[-1]))
    next_change, next_trim = None, time.monotonic()
    while True:
        now = time.monotonic()
        if now >= next_trim:
            store.trim()
            next_trim = now + HISTORY_SECONDS
        if next_change and now >= next_change:
            next_change = now + operator.step()
            pipe.send(operator.record[-1])
        if not pipe.poll(max(0.0, min(next_change or now + 0.05, now + 0.05) - now)):
            continue
        command = pipe.recv()
        if command == "go":
            next_change = time.monotonic()
        elif command == "change":
            operator.change(add=2, drop=1)
            pipe.send(operator.record[-1])


def run_workers(pipe, count, cores):
    """A process: the workers. It receives the agents' addresses."""
    workers = [platform_worker.Worker(f"w{n}", f"zone-{n % 3}", SERVICE, cores)
               for n in range(count)]
    for worker in workers:
        worker.serve()
    pipe.send([worker.port for worker in workers])
    for worker, control in zip(workers, pipe.recv()):
        worker.control = control
    pipe.recv()
    pipe.send(sum(len(worker.log) for worker in workers))


def run_allotment(stop, pids, share):
    """A process: stops each of `pids` once it has used its share of a window.

    What is used beyond the share is taken off the next window's. A process that
    ends is ignored until another takes its place in `pids`.
    """
    def used(pid):
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9

    allotment = share * ALLOTMENT_WINDOW_SECONDS
    limit, stopped = {}, set()
    window_end = time.monotonic()
    while not stop.is_set():
        is_new_window = time.monotonic() >= window_end
        if is_new_window:
            window_end += ALLOTMENT_WINDOW_SECONDS
        for pid in pids[:]:
            try:
                if is_new_window:
                    limit[pid] = min(limit.get(pid, used(pid)), used(pid)) + allotment
                    if pid in stopped and used(pid) < limit[pid]:
                        os.kill(pid, signal.SIGCONT)
                        stopped.discard(pid)
                if pid not in stopped and used(pid) >= limit.get(pid, used(pid) + 1):
                    os.kill(pid, signal.SIGSTOP)
                    stopped.add(pid)
            except OSError:
                stopped.discard(pid)
        time.sleep(0.0005)
    for pid in stopped:
        os.kill(pid, signal.SIGCONT)


class Soak:
    """A site of real processes under load, and the record of what callers saw."""

    def __init__(self, options):
        self.options = options
        self.random = random.Random(f"callers {options.seed}")
        self.folder = Path(options.logs)
        self.folder.mkdir(parents=True, exist_ok=True)
        for old in self.folder.glob("*.log"):
            old.unlink()
        self.children, self.busy = [], []
        self.versions, self.asked, self.open_requests = [], [], 0
        self.lateness = []      # (entry, asked at, seconds until the readiness answer)
        self.watched_at = {}    # By version: when a watch of our own showed it.
        self.pauses = []        # (entry, from, until)
        self.idle = collections.defaultdict(list)
        self.kills = []
        self.jobs = collections.Counter()
        self.wall_offset = time.time() - time.monotonic()
        self.fork = multiprocessing.get_context("fork")
        self.store_pipe, store_address = self._spawn(
            run_store, options.seed, (options.shortest_gap, options.longest_gap))
        self.store_address = f"127.0.0.1:{store_address[0]}"
        self.versions.append(store_address[1])
        self.worker_pipe, worker_ports = self._spawn(
            run_workers, options.hosts, options.cores)
        self.limits = {}  # Of all processes; see `platform_site.PlatformSite`.
        self.agents = [platform_site.Node(
            self, "agent", f"host-{n}", f"zone-{n % 3}",
            {"app": f"127.0.0.1:{port}", "service": SERVICE})
            for n, port in enumerate(worker_ports)]
        self.entries = [platform_site.Node(
            self, "entry", f"entry-{n}", f"zone-{n % 3}",
            {"limits": {"cpu_share": options.cpu_share}}) for n in range(options.entries)]

    def _spawn(self, target, *arguments):
        ours, theirs = self.fork.Pipe()
        child = self.fork.Process(target=target, args=(theirs, *arguments), daemon=True)
        child.start()
        self.children.append(child)
        return ours, ours.recv()

    def start(self):
        nodes = self.agents + self.entries
        for node in nodes:
            node.start_first()
        time.sleep(0.5)
        # A port may have been taken by a process that listened on it already.
        while taken := [node for node in nodes if node.child.poll() is not None]:
            for node in taken:
                node.choose_ports()
                node.start_first()
            time.sleep(0.5)
        self.worker_pipe.send([f"127.0.0.1:{agent.ports[3]}" for agent in self.agents])

    def close(self):
        for node in self.agents + self.entries:
            if node.child and node.child.poll() is None:
                node.kill()
        for child in self.busy + self.children:
            child.kill()
            child.join()

    # Callers.
    async def exchange(self, port, method, target, body=None, kept=None, close=True):
        """@returns the status, when it was sent and answered, and the connection."""
        connection = kept or await asyncio.open_connection("127.0.0.1", port)
        reader, writer = connection
        finished = False
        try:
            data = json.dumps(body).encode() if body else b""
            sent = time.monotonic()
            writer.write(
                f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"Zinniacart-Deadline-Ms: {int(JOB_DEADLINE_SECONDS * 1000)}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
                .encode() + data)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            answered = time.monotonic()
            length = [line.split(":")[1] for line in head.split("\r\n")
                      if line.lower().startswith("content-length")]
            text = await reader.readexactly(int(length[0]) if length else 0)
            finished = not close
            return int(head.split(" ")[1]), sent, answered, connection, text
        finally:
            if not finished:
                writer.close()

    async def ask(self, entry, route):
        """Asks for the jobs that wait on `route` and records the answer."""
        kept = self.random.random() < 0.5
        idle = self.idle[entry]
        connection = idle.pop() if kept and idle else None
        self.open_requests += 1
        sent = time.monotonic()
        try:
            status, sent, answered, connection, _ = await asyncio.wait_for(
                self.exchange(self.entries[entry].ports[1], "GET", route, None,
                              connection, close=not kept), REQUEST_TIMEOUT_SECONDS)
            if kept:
                idle.append(connection)
            self.asked.append(Asked(entry, route, sent, answered, status, kept))
        except (OSError, EOFError, asyncio.TimeoutError):
            self.asked.append(Asked(entry, route, sent, time.monotonic(), None, kept))
        finally:
            self.open_requests -= 1

    def choose_route(self):
        """A route that the last versions added or removed, or one that never was."""
        if self.random.random() < 0.05:
            return f"/never{self.random.randrange(10**6)}/"
        recent, oldest = set(), time.monotonic() - 2 * CONFIG_APPLY_SECONDS
        for before, after in zip(self.versions[-12:], self.versions[-11:]):
            if after.acknowledged > oldest:
                recent |= before.routes ^ after.routes
        return self.random.choice(sorted(recent)) if recent else JOB_PREFIX

    async def ask_on(self, entry, until):
        running = set()
        while time.monotonic() < until:
            if self.open_requests < MOST_OPEN_REQUESTS:
                task = asyncio.create_task(self.ask(entry, self.choose_route()))
                running.add(task)
                task.add_done_callback(running.discard)
            await asyncio.sleep(self.random.uniform(0.5, 1.5) * self.options.ask_ms / 1000)
        await asyncio.gather(*running, return_exceptions=True)

    async def probe(self, entry, until):
        """Measures how late the entry's loop is by its readiness listener."""
        async def one():
            asked_at = time.monotonic()
            try:
                await self.exchange(self.entries[entry].ports[2], "GET", "/v1/ready")
            except (OSError, EOFError):
                return
            self.lateness.append((entry, asked_at, time.monotonic() - asked_at))
        running = []
        while time.monotonic() < until:
            running.append(asyncio.create_task(one()))
            await asyncio.sleep(PROBE_SECONDS)
        await asyncio.wait(running, timeout=REQUEST_TIMEOUT_SECONDS)
        for task in running:
            task.cancel()

    async def follow_operator(self, until):
        while time.monotonic() < until:
            while self.store_pipe.poll():
                self.versions.append(self.store_pipe.recv())
            await asyncio.sleep(0.005)

    async def watch_store(self, until):
        """Follows the configuration beside the entries, to tell a late store from
        late entries."""
        host, port = self.store_address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))

        async def read(target):
            writer.write(f"GET /v1/{target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            length = int(head.split("content-length:")[1].split("\r\n")[0])
            return json.loads(await reader.readexactly(length))

        after = (await read("kv-range?prefix=op/"))["as_of"]
        while time.monotonic() < until:
            answer = await read(f"kv-watch?prefix=op/&after={after}&wait_ms=700")
            after = answer["as_of"]
            for event in answer["events"]:
                number = json.loads(base64.b64decode(event["value"]))["version"]
                self.watched_at[number] = time.monotonic()
        writer.close()

    async def hand_in(self, steps, seconds, millicores):
        """Hands a job in, as consumers do, and asks for its state until it is done."""
        job = f"{self.random.getrandbits(64):016x}"
        body = {"spec": f"{seconds} {millicores}", "steps": steps}
        for _ in range(5):
            status = await self.call(self.random.randrange(len(self.entries)), "POST",
                                     JOB_PREFIX + job, body)
            if status and status[0] == 200:
                self.jobs["accepted"] += 1
                break
            await asyncio.sleep(0.3)
        else:
            self.jobs["not accepted"] += 1
            return
        if "perpetual" in steps[0]:
            return
        await asyncio.sleep(seconds * len(steps))
        for _ in range(20):
            status = await self.call(self.random.randrange(len(self.entries)), "GET",
                                     JOB_PREFIX + job)
            if status and status[0] == 200 and b"completed" in status[1]:
                self.jobs["completed"] += 1
                return
            await asyncio.sleep(1)

    async def call(self, entry, method, target, body=None):
        try:
            answer = await asyncio.wait_for(self.exchange(
                self.entries[entry].ports[1], method, target, body), JOB_DEADLINE_SECONDS)
            return answer[0], answer[4]
        except (OSError, EOFError, asyncio.TimeoutError):
            return None

    async def load(self, until, kind):
        rate, step_counts, tasks, seconds, millicores = kind
        while time.monotonic() < until:
            steps = [{"count": tasks, "cpu": millicores, "mem_mb": 100,
                      "estimate_ms": int(seconds * 1000), **({"after": [0]} if n else {})}
                     for n in range(self.random.choice(step_counts))]
            self.background.append(
                asyncio.create_task(self.hand_in(steps, seconds, millicores)))
            await asyncio.sleep(self.random.expovariate(rate * self.options.load))

    async def load_perpetual(self, until):
        while time.monotonic() < until:
            self.background.append(asyncio.create_task(self.hand_in(
                [{"count": PERPETUAL_TASKS, "cpu": PERPETUAL_MILLICORES, "mem_mb": 100,
                  "estimate_ms": 1000, "perpetual": True}], 100000, PERPETUAL_MILLICORES)))
            await asyncio.sleep(self.random.expovariate(
                PERPETUAL_PER_SECOND * self.options.load))

    async def pause_entries(self, until):
        """Suspends one entry at a time, shortly after a version was acknowledged."""
        while time.monotonic() < until - 5:
            known = len(self.versions)
            while len(self.versions) == known:
                await asyncio.sleep(0.002)
            await asyncio.sleep(self.random.uniform(0, 0.05))
            entry = self.random.randrange(len(self.entries))
            begun = time.monotonic()
            self.entries[entry].child.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.random.uniform(*self.options.pause))
            self.entries[entry].child.send_signal(signal.SIGCONT)
            self.pauses.append((entry, begun, time.monotonic()))
            await asyncio.sleep(self.random.uniform(1, CONTACT_SECONDS + 2))

    async def kill_owners(self, until):
        """Kills the entry that owns the scheduling and starts it again, repeatedly.
        Another one takes over and loads all jobs."""
        while True:
            await asyncio.sleep(self.options.kill_owner_every)
            if time.monotonic() > until - 2 * CONTACT_SECONDS:
                return
            owner = self.owner()
            if owner is None:
                continue
            entry = self.entries[owner]
            self.kills.append(f"entry-{owner} at {time.monotonic() - self.began:.3f}")
            begun = time.monotonic()
            entry.kill()
            self.idle[owner].clear()
            await asyncio.sleep(self.options.down)
            entry.start()
            self.allotted_pids[owner] = entry.child.pid
            self.pauses.append((owner, begun, time.monotonic()))

    def owner(self):
        """@returns the number of the entry that gained the ownership last."""
        gained = [(line, number) for number, entry in enumerate(self.entries)
                  for line in entry.log_path.read_text().splitlines()
                  if '"ownership gained"' in line]
        return max(gained)[1] if gained else None

    async def get_ready(self):
        patience = time.monotonic() + 30
        for entry in range(len(self.entries)):
            while True:
                status = await self.call(entry, "GET", JOB_PREFIX)
                if status and status[0] == 200:
                    break
                if time.monotonic() > patience:
                    raise RuntimeError(f"entry-{entry} did not start; see {self.folder}")
                await asyncio.sleep(0.1)
        await asyncio.sleep(2)
        self.began = time.monotonic()

    async def play_directed(self):
        """Suspends all entries, changes the routes, and lets requests that are sent
        later than the bound wait in the sockets beside the store's notice."""
        await self.get_ready()
        for _ in range(self.options.directed):
            connections = {}
            for entry in range(len(self.entries)):
                connections[entry] = []
                for _ in range(self.options.waiting // 2):
                    answer = await self.exchange(self.entries[entry].ports[1], "GET",
                                                 JOB_PREFIX, close=False)
                    connections[entry].append(answer[3])
            await asyncio.sleep(self.random.uniform(0, 0.7))
            for entry in self.entries:
                entry.child.send_signal(signal.SIGSTOP)
            self.store_pipe.send("change")
            before, after = self.versions[-1], self.store_pipe.recv()
            self.versions.append(after)
            changed = sorted(before.routes ^ after.routes)
            await asyncio.sleep(after.acknowledged + CONFIG_APPLY_SECONDS + 0.02
                                - time.monotonic())
            asking = []
            if self.options.after_wake:
                await self.wake_entries()
                await asyncio.sleep(0.3)
            for entry, kept in connections.items():
                for connection in kept + [None] * len(kept):
                    route = self.random.choice(changed)
                    asking.append(asyncio.create_task(self.ask_once(
                        entry, route, route in after.routes, connection)))
                    await asyncio.sleep(0)
            if not self.options.after_wake:
                await self.wake_entries()
            await asyncio.gather(*asking)
            await asyncio.sleep(0.3)

    async def wake_entries(self):
        await asyncio.sleep(self.random.uniform(*self.options.pause))
        for entry in self.entries:
            entry.child.send_signal(signal.SIGCONT)

    async def ask_once(self, entry, route, is_there, connection):
        """Asks a route that is there for a job that nobody submitted, which needs no
        owner, and one that was removed for the jobs that wait."""
        status, sent, answered, _, _ = await self.exchange(
            self.entries[entry].ports[1], "GET", route + "0" * 16 if is_there else route,
            kept=connection)
        if is_there and status == 410:
            status = 200  # The route served it.
        self.asked.append(Asked(entry, route, sent, answered, status, bool(connection)))

    async def play(self):
        await self.get_ready()
        self.background = []
        used_before = self.used_by_entries()
        until = self.began + self.options.seconds
        stop = self.fork.Event()
        self.allotted_pids = self.fork.Array(
            "i", [entry.child.pid for entry in self.entries])
        if self.options.allotment:
            child = self.fork.Process(target=run_allotment, args=(
                stop, self.allotted_pids,
                self.options.allotment), daemon=True)
            child.start()
            self.children.append(child)
        for _ in range(self.options.busy):
            child = self.fork.Process(target=run_busy, daemon=True)
            child.start()
            self.busy.append(child)
        self.store_pipe.send("go")
        parts = [self.follow_operator(until), self.watch_store(until)]
        parts += [self.ask_on(n, until) for n in range(len(self.entries))]
        parts += [self.probe(n, until) for n in range(len(self.entries))]
        if self.options.load > 0:
            parts += [self.load(until, kind) for kind in JOB_KINDS]
            parts.append(self.load_perpetual(until))
        if self.options.kill_owner_every:
            parts.append(self.kill_owners(until))
        if self.options.pause:
            parts.append(self.pause_entries(until))
        await asyncio.gather(*parts)
        # Unknown for entries that were started again.
        self.used = [(after - before) / (time.monotonic() - self.began) if after > before
                     else float("nan") for before, after
                     in zip(used_before, self.used_by_entries())]
        stop.set()
        for task in self.background:
            task.cancel()
        await asyncio.gather(*self.background, return_exceptions=True)
        for _, writer in sum(self.idle.values(), []):
            writer.close()
        await asyncio.sleep(0.05)

    def used_by_entries(self):
        return [int(Path(f"/proc/{entry.child.pid}/schedstat").read_text().split()[0]) / 1e9
                for entry in self.entries]

    # Judging.
    def is_near_pause(self, asked):
        return any(asked.entry == entry and begun - CONFIG_APPLY_SECONDS < asked.sent
                   and asked.sent < end + CONTACT_SECONDS
                   for entry, begun, end in self.pauses)

    def judge(self):
        return Verdict(self.versions, self.asked)

    def in_force_delays(self, entry):
        """@returns for each version the seconds until the entry used it or a newer one."""
        times = []
        for line in self.entries[entry].log_path.read_text().splitlines():
            if "new configuration in force" in line:
                row = json.loads(line)
                at = datetime.datetime.fromisoformat(row["time"].replace("Z", "+00:00"))
                times.append((row["fields"]["version"], at.timestamp() - self.wall_offset))
        numbers = [number for number, _ in times]
        delays = []
        for version in self.versions[1:]:
            first = bisect.bisect_left(numbers, version.number)
            if first < len(times):
                delays.append((times[first][1] - version.acknowledged, version.number))
        return delays


class Verdict:
    """What the answers show: each is compared with the versions that were allowed."""

    def __init__(self, versions, asked):
        self.versions, self.asked = versions, asked
        self.acknowledged = [version.acknowledged for version in versions]
        self.sent = [version.sent for version in versions]
        self.judged = [one for one in asked if one.status in (200, 404)]
        self.stale = [one for one in self.judged if not self.is_allowed(one)]
        self.regressed = self.find_regressed()

    def allowed(self, asked):
        """@returns the range of versions by which the request may be answered."""
        oldest = bisect.bisect_left(self.acknowledged, asked.sent - CONFIG_APPLY_SECONDS) - 1
        return max(0, oldest), bisect.bisect_right(self.sent, asked.answered) - 1

    def agrees(self, asked, index):
        return (asked.route in self.versions[index].routes) == (asked.status == 200)

    def is_allowed(self, asked):
        oldest, newest = self.allowed(asked)
        return any(self.agrees(asked, index) for index in range(oldest, newest + 1))

    def find_regressed(self):
        """@returns answers that only versions allow which are older than one that an
        answer of the same entry had shown `ROLLBACK_SLACK_SECONDS` before."""
        found = []
        by_entry = collections.defaultdict(list)
        for one in self.judged:
            _, newest = self.allowed(one)
            agreeing = [index for index in range(newest + 1) if self.agrees(one, index)]
            if agreeing:
                by_entry[one.entry].append((one, agreeing[0], agreeing[-1]))
        for rows in by_entry.values():
            shown = sorted((one.answered, first) for one, first, _ in rows)
            times, highest = [], []
            for at, first in shown:
                times.append(at)
                highest.append(max(first, highest[-1] if highest else 0))
            for one, _, last in rows:
                before = bisect.bisect_left(times, one.sent - ROLLBACK_SLACK_SECONDS) - 1
                if before >= 0 and last < highest[before]:
                    found.append(one)
        return found

    def describe(self, asked, began):
        oldest, newest = self.allowed(asked)
        changes = [f"{'added' if asked.route in after.routes else 'removed'} by "
                   f"{after.number} at {after.acknowledged - began:.3f}"
                   for before, after in zip(self.versions, self.versions[1:])
                   if (asked.route in before.routes) != (asked.route in after.routes)]
        return (f"entry-{asked.entry} {'kept' if asked.kept else 'new'} {asked.route} sent "
                f"{asked.sent - began:.3f} answered {asked.answered - began:.3f} with "
                f"{asked.status}; allowed {self.versions[oldest].number} to "
                f"{self.versions[newest].number}; {', '.join(changes)}")


def run_busy():
    while True:
        pass


def quantile(values, part):
    return sorted(values)[int(part * (len(values) - 1))] if values else float("nan")


def report(soak, verdict):
    """Prints what was measured. @returns whether every judged answer was allowed."""
    near = [one for one in verdict.stale if soak.is_near_pause(one)]
    stale = [one for one in verdict.stale if not soak.is_near_pause(one)]
    judged_near = sum(1 for one in verdict.judged if soak.is_near_pause(one))
    regressed = [one for one in verdict.regressed if not soak.is_near_pause(one)]
    statuses = collections.Counter(one.status for one in verdict.asked)
    tight = sum(1 for one in verdict.judged if is_decisive(verdict, one))
    print(f"options {vars(soak.options)}")
    print(f"versions {len(soak.versions)}, asked {len(verdict.asked)}, statuses "
          f"{dict(statuses)}, jobs {dict(soak.jobs)}, pauses {len(soak.pauses)}, kills "
          f"{soak.kills}")
    print(f"judged {len(verdict.judged) - judged_near} (decisive {tight} of all): stale "
          f"{len(stale)}, regressed {len(regressed)}; near pauses judged {judged_near}: "
          f"stale {len(near)}, regressed {len(verdict.regressed) - len(regressed)}")
    for number, entry in enumerate(soak.entries):
        late = [delay for one, _, delay in soak.lateness if one == number]
        delays = [delay for delay, _ in soak.in_force_delays(number)]
        log = entry.log_path.read_text().splitlines()
        lost = sum('"prefix":"op/"' in line and "does not respond" in line for line in log)
        gained = sum("ownership gained" in line for line in log)
        print(f"{entry.name}: used {soak.used[number]:.4f} cores; readiness answered after "
              f"p50 {quantile(late, 0.5):.3f} p99 {quantile(late, 0.99):.3f} max "
              f"{max(late, default=float('nan')):.3f} s; in force after p50 "
              f"{quantile(delays, 0.5):.3f} p99 {quantile(delays, 0.99):.3f} max "
              f"{max(delays, default=float('nan')):.3f} s; lost the store (op/) "
              f"{lost} times, gained the ownership {gained} times; exit "
              f"{entry.child.poll()}")
    store_late = [soak.watched_at[version.number] - version.acknowledged
                  for version in soak.versions if version.number in soak.watched_at]
    print(f"own watch: max {max(store_late, default=float('nan')):.3f} s after the "
          f"acknowledgement")
    for kind, rows in (("STALE", stale), ("REGRESSED", regressed), ("near a pause", near)):
        for one in rows[:soak.options.shown]:
            print(kind, verdict.describe(one, soak.began))
    ended = print_ended(soak)
    is_decided = verdict.judged and tight > 0
    if not is_decided:
        print("no answer could have shown a late configuration")
    return bool(is_decided) and not (stale or regressed or ended)


def print_ended(soak):
    ended = [entry.name for entry in soak.entries if entry.child.poll() is not None]
    if ended:
        print("ended by itself:", ended)
    return ended


def report_directed(soak, verdict):
    """Prints what was measured. @returns whether every judged answer was allowed."""
    print(f"options {vars(soak.options)}")
    for kept in (True, False):
        judged = [one for one in verdict.judged if one.kept == kept]
        stale = [one for one in verdict.stale if one.kept == kept]
        print(f"on {'kept' if kept else 'new'} connections: judged {len(judged)}, stale "
              f"{len(stale)} ({sum(1 for one in stale if one.status == 404)} times 404)")
    print("statuses", dict(collections.Counter(one.status for one in verdict.asked)))
    for number, entry in enumerate(soak.entries):
        delays = [delay for delay, _ in soak.in_force_delays(number)]
        print(f"{entry.name}: in force after p50 {quantile(delays, 0.5):.3f} max "
              f"{max(delays, default=float('nan')):.3f} s")
    for one in verdict.stale[:soak.options.shown]:
        print("STALE", verdict.describe(one, soak.began))
    # Refusals are not judged; an entry must not avoid the question by them.
    is_answering = 2 * len(verdict.judged) >= len(verdict.asked) > 0
    if not is_answering:
        print("fewer than half of the requests were answered with 200 or 404")
    ended = print_ended(soak)
    return is_answering and not (verdict.stale or ended)


def is_decisive(verdict, asked):
    """@returns whether some older version than the allowed ones forbids the answer's
    opposite, that is, whether a late entry would have been noticed."""
    oldest, newest = verdict.allowed(asked)
    return (all(verdict.agrees(asked, index) for index in range(oldest, newest + 1))
            and any(not verdict.agrees(asked, index) for index in range(oldest)))


def parse(arguments):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=40)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--hosts", type=int, default=6)
    parser.add_argument("--cores", type=int, default=30, help="of each host")
    parser.add_argument("--cpu-share", type=float, default=0.1, help="in the settings")
    parser.add_argument("--load", type=float, default=1.0, help="of laurentide-hq's jobs")
    parser.add_argument("--ask-ms", type=float, default=30)
    parser.add_argument("--shortest-gap", type=float, default=0.3)
    parser.add_argument("--longest-gap", type=float, default=3.0)
    parser.add_argument("--allotment", type=float, default=0, help="cores of an entry")
    parser.add_argument("--busy", type=int, default=0, help="busy processes beside it")
    parser.add_argument("--pause", type=float, nargs=2, help="shortest, longest in s")
    parser.add_argument("--kill-owner-every", type=float, default=0, help="seconds")
    parser.add_argument("--down", type=float, default=6, help="seconds after a kill")
    parser.add_argument("--directed", type=int, default=0,
                        help="only suspend all entries this often, with requests waiting")
    parser.add_argument("--after-wake", action="store_true",
                        help="send these requests only 0.3 s after the entries go on")
    parser.add_argument("--waiting", type=int, default=20, help="requests at each entry")
    parser.add_argument("--shown", type=int, default=5)
    parser.add_argument("--logs", default=None, help="folder that is kept")
    return parser.parse_args(arguments)


def main(arguments=None):
    options = parse(arguments)
    keep = options.logs is not None
    options.logs = options.logs or f"/tmp/zinniacart-soak-{os.getpid()}"
    soak = Soak(options)
    try:
        soak.start()
        if options.directed:
            options.pause = options.pause or [0.05, 0.6]
            asyncio.run(soak.play_directed())
            return 0 if report_directed(soak, soak.judge()) else 1
        asyncio.run(soak.play())
        return 0 if report(soak, soak.judge()) else 1
    finally:
        soak.close()
        if not keep:
            shutil.rmtree(soak.folder, ignore_errors=True)


if __name__ == "__main__":
    sys.exit(main())
