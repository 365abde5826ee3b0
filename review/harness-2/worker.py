"""A stand-in for the workers of the users' platform, for the cases of this review.

It follows the platform's pages: one lease for all that runs, fencing tokens,
numbered ends that are listed until they are acknowledged, stops that take
`stop_ms`, gangs that work while all members are present, capacity that the
worker guards. What a task does is told by the job's payload, which is JSON:
one object for each step with `cpu`, `s` (seconds of work), `count`, `gang` and
`end` (`done`, `failed`, `lasts`, or `crash`, which takes the worker down).

Faults are set by the cases: `lose` decides whether the answer to a call that
was carried out is lost, `crash` ends everything and starts a new life, and
`wall_ms` gives the time of day that the worker sees.
"""

import json
import socket
import threading
import time
import urllib.request
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

STOP_MS = 900
HEARTBEAT_MS = 1500
GANG_MS = 3000
HOLD_MAX_MS = 10000
MOST_WAIT_MS = 2000
MOST_ENDS = 500
TICK_SECONDS = 0.01
DOWN_SECONDS = 2.0  # After a crash by a task.


class Run:
    def __init__(self, worker, task, number, shape):
        self.worker, self.task, self.number, self.shape = worker, task, number, shape
        self.begun = time.monotonic()
        self.works_since = None if shape.get("gang") else self.begun
        self.ended = self.how = self.stop_at = None
        self.crashed_worker = False
        self.noted = None  # When `last_seen` reached its end.

    def row(self):
        return (f"task {self.task} run {self.number} on {self.worker.name}: "
                f"began {self.begun:.3f}, "
                + (f"ended {self.how} {self.ended:.3f}" if self.ended else "runs"))


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        pass


class Worker:
    """One host's worker. All workers of a site share `lock` and `all_runs`."""

    def __init__(self, name, zone, ip, service, cores, labels, shared):
        self.name, self.zone, self.service, self.labels = name, zone, service, labels
        self.ip, self.shared = ip, shared
        self.capacity = {"cpu": cores * 1000, "mem_mb": 64000, "gpu": 0}
        self.lock = shared.lock
        self.control = None
        self.lose = lambda path, body: False
        self.sheds = False  # Unhealthy: it refuses starts and has done nothing.
        self.wall_ms = lambda: int(time.time() * 1000)
        self.down_until = 0.0
        self.announced = threading.Event()
        self.life = 0
        self.lapses = []  # When its lease lapsed.
        self._begin_life()
        worker = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def do_POST(self):
                body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                answer = worker.answer(self.path, body,
                                       self.headers.get("Zinniacart-Expect-Instance"))
                if answer is None:
                    self.close_connection = True
                    return
                data = json.dumps(answer[1]).encode()
                self.send_response(answer[0])
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def do_GET(self):
                self.send_response(200)
                self.send_header("Content-Length", "0")
                self.end_headers()

        self.server = Server((ip, 0), Handler)
        self.address = "%s:%d" % self.server.server_address
        for target in (self.server.serve_forever, self._tick, self._beat):
            threading.Thread(target=target, daemon=True).start()

    def _begin_life(self):
        self.life += 1
        self.started = time.monotonic()
        self.born = self.wall_ms()
        self.token = self.lease_until = self.sequence = self.next_end = 0
        self.running, self.ends, self.barred = {}, [], {}
        self.lapsed = True

    # What a case does to the worker.

    def is_down(self):
        return time.monotonic() < self.down_until

    def crash(self, down_seconds):
        """All that runs ends; the next life answers after `down_seconds`."""
        with self.lock:
            for run in list(self.running.values()):
                run.ended, run.how = time.monotonic(), "crashed"
            self.running = {}
            self.down_until = time.monotonic() + down_seconds
            self.shared.changed.notify_all()
        time.sleep(down_seconds)
        with self.lock:
            self._begin_life()
        self.shared.record(f"{self.name} is back: life {self.life}, born {self.born}")

    def set_capacity(self, millicores):
        """The capacity changes, and the worker's next check-in, at once, shows it."""
        with self.lock:
            self.capacity = dict(self.capacity, cpu=millicores)
        self.announced.set()

    def used(self):
        return sum(run.shape["cpu"] for run in self.running.values())

    # What the platform's pages say.

    def clock(self):
        return int((time.monotonic() - self.started) * 1000) + 1000

    def answer(self, path, body, expected):
        if self.is_down():
            return None
        if self.sheds and path == "/v1/run-start":
            return 503, {}
        if expected and expected != "i-" + self.name:
            return 421, {"clock_ms": self.clock(), "born": self.born}
        life = self.life
        with self.lock:
            if body.get("fencing_token", 0) < self.token:
                status, answer = 409, {"reason": "fence"}
            else:
                self.token = body.get("fencing_token", 0)
                action = {"/v1/run-start": self._start, "/v1/run-stop": self._stop,
                          "/v1/hold": self._hold, "/v1/pace": lambda _: (200, {})}.get(path)
                status, answer = action(body) if action else (404, {})
            answer.update(clock_ms=self.clock(), born=self.born)
        lost = self.lose(path, body)
        if path != "/v1/hold" or lost:
            self.shared.record(f"{self.name} {path} {body.get('task', '')} "
                               f"{body.get('run', '')}: {status} {answer.get('reason', '')}"
                               + (" (carried out, the answer is lost)" if lost else ""))
        if lost:
            time.sleep(2.0)  # Silence; the caller has given up by then.
        return None if lost or self.is_down() or self.life != life else (status, answer)

    def _extend(self, deadline):
        self.lease_until = max(self.lease_until, min(deadline, self.clock() + HOLD_MAX_MS))

    def _start(self, body):
        task, number = body["task"], body["run"]
        current = self.running.get(task)
        if current and current.number == number:
            return 200, {}
        if number <= self.barred.get(task, 0) or (current and number < current.number):
            self._extend(body["deadline_ms"])
            return 409, {"reason": "old"}
        if body["deadline_ms"] < self.clock():
            return 409, {"reason": "late"}
        shape = json.loads(body["spec"])[int(task.split(".")[2])]
        self._extend(body["deadline_ms"])
        if self.used() + shape["cpu"] > self.capacity["cpu"]:
            return 409, {"reason": "room"}
        if current:
            self._end(current, "stopped")
        run = Run(self, task, number, shape)
        self.running[task] = run
        self.shared.all_runs.append(run)
        return 200, {}

    def _stop(self, body):
        task, number = body["task"], body["run"]
        self.barred[task] = max(number, self.barred.get(task, 0))
        run = self.running.get(task)
        if run and run.number <= number and run.stop_at is None:
            run.stop_at = time.monotonic() + STOP_MS / 1000
        return 200, {}

    def _hold(self, body):
        life = self.life
        self._extend(body.get("deadline_ms", 0))
        for end in self.ends:
            if end[0] <= body.get("last_seen", 0):
                end[5].noted = time.monotonic()
        self.ends = [end for end in self.ends if end[0] > body.get("last_seen", 0)]
        until = time.monotonic() + min(body.get("wait_ms", 0), MOST_WAIT_MS) / 1000
        while not self.ends and self.life == life and time.monotonic() < until:
            self.shared.changed.wait(max(0.001, until - time.monotonic()))
        rows = [[run.task, run.number, "", 100, 0] for run in self.running.values()]
        return 200, {"running": rows, "ended": [end[:5] for end in self.ends[:MOST_ENDS]]}

    def _end(self, run, how):
        self.next_end += 1
        run.ended, run.how = time.monotonic(), how
        del self.running[run.task]
        self.barred[run.task] = max(run.number, self.barred.get(run.task, 0))
        self.ends.append([self.next_end, run.task, run.number, how, "", run])
        self.shared.record(f"{self.name} ends {run.task} run {run.number}: {how}")
        self.shared.changed.notify_all()

    def _members(self, run):
        step = run.task.rsplit(".", 1)[0] + "."
        return [other for other in self.shared.all_runs
                if other.task.startswith(step) and other.number == run.number]

    def _tick(self):
        while True:
            time.sleep(TICK_SECONDS)
            if self.is_down():
                continue
            with self.lock:
                now = time.monotonic()
                for run in list(self.running.values()):
                    self._advance(run, now)
                if self.clock() > self.lease_until and not self.lapsed:
                    self.lapses.append(now)
                self.lapsed = self.clock() > self.lease_until

    def _advance(self, run, now):
        if run.stop_at is not None and now >= run.stop_at:
            return self._end(run, "stopped")
        if self.clock() > self.lease_until:
            return self._end(run, "lapsed")
        if run.shape.get("gang"):
            members = self._members(run)
            if any(other.how == "done" for other in members):
                return self._end(run, "done")
            if any(other.ended for other in members):
                return self._end(run, "broken")
            if run.works_since is None and len(members) == run.shape["count"]:
                run.works_since = now
            if run.works_since is None and now - run.begun > GANG_MS / 1000:
                return self._end(run, "alone")
        end = run.shape.get("end", "done")
        if end == "lasts" or not run.works_since or now - run.works_since <= run.shape["s"]:
            return None
        if end != "crash":
            return self._end(run, end)
        if not self.is_down():
            self.shared.record(f"{self.name} crashes under {run.task} run {run.number}")
            run.crashed_worker = True
            self.down_until = now + DOWN_SECONDS
            threading.Thread(target=self.crash, args=(DOWN_SECONDS,), daemon=True).start()
        return None

    def _beat(self):
        life = 0
        while True:
            self.announced.wait(HEARTBEAT_MS / 1000 if life == self.life else 0.05)
            self.announced.clear()
            if not self.control or self.is_down():
                continue
            with self.lock:
                life = self.life
                self.sequence += 1
                body = {"service": self.service, "address": self.address,
                        "zone": self.zone, "version": "v1", "slots": 8, "state": "ready",
                        "seq_no": self.sequence, "cold_left_ms": 0, "born": self.born,
                        "capacity": self.capacity, "labels": self.labels,
                        "machine": "m-" + self.name, "clock_ms": self.clock()}
            try:
                urllib.request.urlopen(urllib.request.Request(
                    f"http://{self.control}/v1/Instances.Heartbeat/i-{self.name}",
                    json.dumps(body).encode(), {"Content-Type": "application/json"}),
                    timeout=1).read()
            except (OSError, ValueError):
                pass  # The next check-in tells.
