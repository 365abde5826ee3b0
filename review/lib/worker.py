"""A stand-in for the platform's workers, with gangs, checkpoints and pages of
ends, as the pages on running tasks describe them.

All workers of a site share a `Cluster`, which knows what consumers submitted,
tells how long tasks take, and keeps the record of all runs.
"""

import asyncio
import json
import time

from http_lite import call, serve

MOST_ENDS_IN_A_LIST = 500
MOST_WAIT_SECONDS = 2.0
TICK_SECONDS = 0.01


class Cluster:
    """What the workers of a site have in common."""

    def __init__(self, bounds, record):
        self.bounds, self.record = bounds, record
        self.jobs = {}   # By id: the submitted steps, each with "work_s".
        self.specs = {}  # By id: the submitted spec.
        self.workers = []
        self.runs = []   # Every run that was ever begun.

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job][int(step)]

    def members(self, run):
        """The runs of the gang of `run` that are present."""
        prefix = run.task.rsplit(".", 1)[0] + "."
        return [other for worker in self.workers for other in worker.running.values()
                if other.task.startswith(prefix) and other.number == run.number
                and other.resumed == run.resumed]


class Run:
    def __init__(self, task, number, resumed, worker, step, begun):
        self.task, self.number, self.resumed = task, number, resumed
        self.worker, self.step, self.begun = worker, step, begun
        self.job = task.split(".")[0]
        self.saved = resumed
        self.done_s = int(resumed[:8], 16) / 1000 if resumed else 0.0
        self.at_work = False
        self.worked_from = None
        self.ended = self.how = None
        self.noted = None       # When `last_seen` reached its end.
        self.stopping = None


class Worker:
    def __init__(self, cluster, name, ip, port, zone, service, labels, capacity):
        self.cluster, self.name, self.ip, self.port = cluster, name, ip, port
        self.zone, self.service, self.labels = zone, service, labels
        self.capacity = dict(capacity)
        self.control = None     # (ip, port) of the agent's announcements.
        self.unhealthy = False  # It answers starts with 503 and does nothing.
        self.clock_ahead_s = 0.0  # Of its machine's time of day.
        self.down = True
        self.changed = asyncio.Condition()
        self.running = {}
        self.refused = 0
        cluster.workers.append(self)
        self.begin_life()

    def begin_life(self):
        self.started = time.monotonic()
        self.born = int((time.time() + self.clock_ahead_s) * 1000)
        self.token = self.lease_until = 0
        self.ends, self.barred, self.lists_of_ends = [], {}, {}
        self.sequence = self.next_end = 0
        self.down = False

    def clock(self):
        return int((time.monotonic() - self.started) * 1000) + 5000

    async def serve(self):
        self.server = await serve(self.ip, self.port, self.handle)
        self.tasks = [asyncio.create_task(self.tick()), asyncio.create_task(self.beat())]

    # Faults.
    def crash(self, down_s):
        """Everything that runs is gone; it is back after `down_s`."""
        self.down = True
        now = time.monotonic()
        gone = list(self.running.values())
        self.running = {}
        for run in gone:
            run.ended, run.how = now, "crash"
            self.cluster.record(f"crash of {self.name} ends {run.task} run {run.number}")
        for run in gone:
            self.break_gang(run)
        asyncio.get_running_loop().call_later(down_s, self.begin_life)

    # Calls.
    async def handle(self, method, target, headers, body):
        if self.down:
            return None
        born = self.born
        action = {"/v1/run-start": self.start, "/v1/run-stop": self.stop,
                  "/v1/hold": self.hold, "/v1/pace": self.pace}.get(target)
        if method != "POST" or action is None:
            return 404, {}
        expected = headers.get("zinniacart-expect-instance", self.id())
        if expected != self.id():
            return 421, {"clock_ms": self.clock(), "born": self.born}
        body = json.loads(body)
        if body.get("fencing_token", 0) < self.token:
            status, answer = 409, {"reason": "fence"}
        else:
            self.token = body.get("fencing_token", 0)
            status, answer = await action(body)
        if self.down or born != self.born:
            return None
        return status, dict(answer, clock_ms=self.clock(), born=self.born)

    def id(self):
        return "i-" + self.name

    def extend(self, deadline):
        longest = self.clock() + self.cluster.bounds["hold_max_ms"]
        self.lease_until = max(self.lease_until, min(deadline, longest))

    async def start(self, body):
        task, number = body["task"], body["run"]
        if self.unhealthy:
            self.refused += 1
            return 503, {}
        current = self.running.get(task)
        if current and current.number == number:
            return 200, {}
        if number <= self.barred.get(task, 0) or (current and number < current.number):
            self.extend(body["deadline_ms"])
            return 409, {"reason": "old"}
        if body["deadline_ms"] < self.clock():
            return 409, {"reason": "late"}
        job = task.split(".")[0]
        if job not in self.cluster.jobs or body["spec"] != self.cluster.specs[job]:
            self.cluster.record(f"UNASKED start of {task} run {number} on {self.name}")
            return 400, {}
        step = self.cluster.step_of(task)
        self.extend(body["deadline_ms"])
        for kind in ("cpu", "mem_mb"):
            used = sum(run.step.get(kind, 0) for run in self.running.values())
            if used + step.get(kind, 0) > self.capacity[kind]:
                return 409, {"reason": "room"}
        run = Run(task, number, body.get("last_checkpoint", ""), self, step, time.monotonic())
        self.running[task] = run
        self.cluster.runs.append(run)
        self.cluster.record(f"start {task} run {number} on {self.name} epoch {self.token} "
                            f"last_checkpoint '{run.resumed}'")
        return 200, {}

    async def stop(self, body):
        task, number = body["task"], body["run"]
        self.barred[task] = max(number, self.barred.get(task, 0))
        run = self.running.get(task)
        if run and run.number <= number and not run.stopping:
            run.stopping = time.monotonic()
        return 200, {}

    async def pace(self, body):
        return 200, {}

    async def hold(self, body):
        self.extend(body.get("deadline_ms", 0))
        for end in self.ends:
            if end[0] <= body["last_seen"] and end[5].noted is None:
                end[5].noted = time.monotonic()
        self.ends = [end for end in self.ends if end[0] > body["last_seen"]]
        wait = min(body.get("wait_ms", 0) / 1000, MOST_WAIT_SECONDS)
        if wait and not self.ends:
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), wait)
                except asyncio.TimeoutError:
                    pass
        rows = [[run.task, run.number, run.saved, self.percent(run), run.step["cpu"]]
                for run in self.running.values()]
        return 200, {"running": rows,
                     "ended": [end[:5] for end in self.ends[:MOST_ENDS_IN_A_LIST]]}

    # Work.
    def percent(self, run):
        return min(100, int(100 * run.done_s / run.step["work_s"]))

    def checkpoint(self, run):
        """A gang's value is the same for all members at the same progress."""
        return f"{int(run.done_s * 1000):08x}{run.job[:8]}"

    async def tick(self):
        bounds = self.cluster.bounds
        while True:
            await asyncio.sleep(TICK_SECONDS)
            if self.down:
                continue
            now = time.monotonic()
            expired = self.clock() > self.lease_until
            for run in list(self.running.values()):
                if self.running.get(run.task) is not run:
                    continue
                if run.stopping and now - run.stopping >= bounds["stop_ms"] / 2000:
                    self.end(run, "stopped")
                elif expired:
                    self.end(run, "lapsed")
                else:
                    self.advance(run, now)

    def advance(self, run, now):
        if not run.at_work:
            gang = run.step.get("gang")
            if gang and len(self.cluster.members(run)) < run.step["count"]:
                if now - run.begun > self.cluster.bounds["gang_ms"] / 1000:
                    self.end(run, "alone")
                return
            restore = self.cluster.bounds["restore_ms"] / 1000 if run.resumed else 0
            for member in self.cluster.members(run) if gang else [run]:
                member.at_work, member.worked_from = True, now + restore
                member.base_s = member.done_s
        run.done_s = run.base_s + max(0.0, now - run.worked_from)
        if now - run.begun >= run.step.get("fails_s", float("inf")):
            return self.end(run, "failed")
        if run.step.get("saves_progress"):
            every = self.cluster.bounds["checkpoint_s"]
            whole = int(run.done_s / every) * every
            if whole > run.base_s:
                run.saved = f"{int(whole * 1000):08x}{run.job[:8]}"
        if run.done_s >= run.step["work_s"] and not run.step.get("perpetual"):
            members = self.cluster.members(run) if run.step.get("gang") else [run]
            for member in members:
                member.worker.end(member, "done")

    def end(self, run, how):
        del self.running[run.task]
        if how not in ("done", "failed", "alone") and run.at_work \
                and run.step.get("saves_progress"):
            run.saved = self.checkpoint(run)
        run.ended, run.how = time.monotonic(), how
        self.next_end += 1
        self.barred[run.task] = max(run.number, self.barred.get(run.task, 0))
        self.ends.append([self.next_end, run.task, run.number, how, run.saved, run])
        self.cluster.record(f"end {run.task} run {run.number} on {self.name}: {how} "
                            f"saved '{run.saved}'")
        asyncio.ensure_future(self.notify())
        if how in ("stopped", "lapsed"):
            self.break_gang(run)

    def break_gang(self, run):
        if run.step.get("gang") and run.at_work:
            for member in self.cluster.members(run):
                member.worker.end(member, "broken")

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def beat(self):
        while True:
            if self.control and not self.down:
                self.sequence += 1
                await call(*self.control, "POST", "/v1/Instances.Heartbeat/" + self.id(), {
                    "service": self.service, "address": f"{self.ip}:{self.port}",
                    "zone": self.zone, "version": "v1", "slots": 8, "state": "ready",
                    "cold_left_ms": 0, "capacity": self.capacity, "labels": self.labels,
                    "machine": "m-" + self.name, "clock_ms": self.clock(),
                    "born": self.born, "seq_no": self.sequence}, timeout=1.0)
            await asyncio.sleep(self.cluster.bounds["heartbeat_ms"] / 1000)
