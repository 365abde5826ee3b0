"""A small stand-in for a worker of the users' platform.

Speaks its published protocol: runs under one lease, fencing tokens, numbered
ends, orders that are carried out late. Tasks end after the time that their
job's payload names; a negative time crashes the worker. It records what ran
when, so that tests can judge.
"""

import json
import threading
import time
import urllib.request
from http.server import BaseHTTPRequestHandler

from platform_store import QuietServer

HEARTBEAT_SECONDS = 0.3
STOP_SECONDS = 0.05
MOST_WAIT_SECONDS = 2.0
CRASH_SECONDS = 0.01  # From the start of a crashing task to the crash.
DOWN_SECONDS = 1.0  # After a crash.


class Run:
    def __init__(self, task, number, seconds, begun):
        self.task, self.number, self.seconds, self.begun = task, number, seconds, begun
        self.ended = None
        self.stopping_since = None


class Worker:
    def __init__(self, name, zone, service, cores=4):
        self.name, self.zone, self.service = name, zone, service
        self.capacity = {"cpu": cores * 1000, "mem_mb": 64000, "gpu": 0}
        self.changed = threading.Condition()
        self.control = None
        self.answer_late = 0.0
        self.draining = False
        self.guards_capacity = True
        self.overfilled = []  # Starts that brought it over its capacity.
        self.crashes = 0
        self.down_until = 0
        self.log = []  # Every Run ever, over all incarnations.
        self.shapes = {}
        self.measures = {}  # By job: the fifth entry of its rows in the list of runs.
        self.restart()
        threading.Thread(target=self._tick, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def restart(self):
        """A new incarnation under the same id: nothing of before is known."""
        with self.changed:
            now = time.time()
            for run in getattr(self, "running", {}).values():
                run.ended = now
            self.started = time.monotonic()
            self.born = int(now * 1000)
            self.token = 0
            self.lease_until = 0
            self.running, self.ends, self.barred = {}, [], {}
            self.sequence = self.next_end = 0
            self.changed.notify_all()

    def crash(self):
        """Ends everything; the next incarnation answers after a while."""
        self.crashes += 1
        self.down_until = time.monotonic() + DOWN_SECONDS
        self.restart()

    def go_down(self, seconds):
        """An upkeep or move of its machine ends everything."""
        self.down_until = time.monotonic() + seconds
        self.restart()

    def is_down(self):
        return time.monotonic() < self.down_until

    def clock(self):
        return int((time.monotonic() - self.started) * 1000) + 5000

    def start(self, body):
        with self.changed:
            if not self._fence(body):
                return 409, {"reason": "fence"}
            task, number = body["task"], body["run"]
            current = self.running.get(task)
            if current and current.number == number:
                return 200, {}
            if number <= self.barred.get(task, 0) or (current and number < current.number):
                self._extend(body["deadline_ms"])
                return 409, {"reason": "old"}
            if body["deadline_ms"] < self.clock():
                return 409, {"reason": "late"}
            seconds, millicores = (float(part) for part in body["spec"].split())
            used = sum(self.shapes[name] for name in self.running)
            self._extend(body["deadline_ms"])
            if used + millicores > self.capacity["cpu"]:
                if self.guards_capacity:
                    return 409, {"reason": "room"}
                self.overfilled.append((time.time(), task))
            self.shapes[task] = millicores
            run = Run(task, number, seconds, time.time())
            self.running[task] = run
            self.log.append(run)
            return 200, {}

    def stop(self, body):
        with self.changed:
            if not self._fence(body):
                return 409, {"reason": "fence"}
            task, number = body["task"], body["run"]
            self.barred[task] = max(number, self.barred.get(task, 0))
            if task in self.running and self.running[task].number <= number:
                self.running[task].stopping_since = time.time()
            return 200, {}

    def hold(self, body):
        until = time.monotonic() + min(body.get("wait_ms", 0) / 1000, MOST_WAIT_SECONDS)
        with self.changed:
            born = self.born
            if not self._fence(body):
                return 409, {"reason": "fence"}
            self._extend(body.get("deadline_ms", 0))
            self.ends = [end for end in self.ends if end[0] > body["last_seen"]]
            while not self.ends and born == self.born and time.monotonic() < until:
                self.changed.wait(until - time.monotonic())
            rows = [[run.task, run.number, "", 100, self.measures.get(run.task.split(".")[0], 0)]
                    for run in self.running.values()]
            return 200, {"running": rows, "ended": self.ends}

    def serve(self):
        worker = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def do_POST(self):
                body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                born = worker.born
                if worker.is_down():
                    self.close_connection = True
                    return
                action = {"/v1/run-start": worker.start, "/v1/run-stop": worker.stop,
                          "/v1/hold": worker.hold}.get(self.path)
                if worker.answer_late and self.path == "/v1/run-start":
                    time.sleep(worker.answer_late)
                    action(body)
                    self.close_connection = True
                    return
                status, answer = action(body) if action else (404, {})
                if worker.born != born:
                    self.close_connection = True  # It has crashed meanwhile.
                    return
                answer.update(clock_ms=worker.clock(), born=worker.born)
                data = json.dumps(answer).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

        server = QuietServer(("127.0.0.1", 0), Handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.port = server.server_address[1]

    def _fence(self, body):
        if body.get("fencing_token", 0) < self.token:
            return False
        self.token = body.get("fencing_token", 0)
        return True

    def _extend(self, deadline):
        self.lease_until = max(self.lease_until, min(deadline, self.clock() + 10000))

    def _end(self, run, how):
        self.next_end += 1
        run.ended = time.time()
        del self.running[run.task]
        self.barred[run.task] = max(run.number, self.barred.get(run.task, 0))
        self.ends.append([self.next_end, run.task, run.number, how, ""])
        self.changed.notify_all()

    def _tick(self):
        while True:
            time.sleep(0.01)
            with self.changed:
                now = time.time()
                for run in list(self.running.values()):
                    if run.seconds < 0 and now - run.begun > CRASH_SECONDS:
                        self.crash()
                        break
                    if run.stopping_since and now - run.stopping_since > STOP_SECONDS:
                        self._end(run, "stopped")
                    elif self.clock() > self.lease_until:
                        self._end(run, "lapsed")
                    elif 0 <= run.seconds < now - run.begun:
                        self._end(run, "done")

    def _beat(self):
        while True:
            time.sleep(HEARTBEAT_SECONDS)
            if not self.control or self.is_down():
                continue
            self.sequence += 1
            body = {"service": self.service, "address": f"127.0.0.1:{self.port}",
                    "zone": self.zone, "version": "v1", "slots": 8,
                    "state": "draining" if self.draining else "ready",
                    "seq_no": self.sequence, "cold_left_ms": 0, "born": self.born,
                    "capacity": self.capacity, "labels": ["a", "r1"],
                    "machine": "m-" + self.name, "clock_ms": self.clock()}
            try:
                urllib.request.urlopen(urllib.request.Request(
                    f"http://{self.control}/v1/Instances.Heartbeat/i-{self.name}",
                    json.dumps(body).encode(), {"Content-Type": "application/json"}),
                    timeout=1).read()
            except OSError:
                pass  # The agent is down; the next announcement will tell.
