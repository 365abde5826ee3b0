"""A small stand-in for the machine service of the users' platform.

Speaks its published protocol: a list of machines in pages, upkeeps and moves
with fencing tokens and rate limits. It keeps a journal of calls, and judges the
limit of each wave, the rates and the holders itself, so that tests read
`violations`. Faults are set by tests: `away` refuses all, `lose_answers`
carries calls out without answering, `busy` names machines that refuse.
"""

import json
import threading
import time
from http.server import BaseHTTPRequestHandler
from urllib.parse import parse_qs, urlparse

from platform_store import QuietServer

PAGE_MACHINES = 2
LEASE_SECONDS = 3.0


class Machine:
    def __init__(self, worker):
        self.worker = worker  # None: a machine without one of ours.
        self.state = "up"
        self.pool = "orders"
        self.down_for = None
        self.up_at = 0
        self.waves_done = set()
        self.token = 0


class Machines:
    """The state, and what each call does to it."""

    def __init__(self, store, maintenance=0.6, move=0.4, rate_per_s=20, duty_per_s=5,
                 require_fence=True):
        self.store = store
        self.maintenance, self.move_seconds = maintenance, move
        self.rate_per_s, self.duty_per_s = rate_per_s, duty_per_s
        self.require_fence = require_fence
        self.changed = threading.Condition()
        self.machines = {}
        self.busy = set()
        self.away = False
        self.lose_answers = 0
        self.calls = []  # (time, kind, holder, token, machine, status, reason)
        self.reads = []
        self.violations = []
        threading.Thread(target=self._tick, daemon=True).start()

    def add(self, name, worker=None):
        with self.changed:
            self.machines[name] = Machine(worker)

    def remove(self, name):
        with self.changed:
            del self.machines[name]

    def list(self, token):
        with self.changed:
            now = time.monotonic()
            self.reads.append(now)
            self._check_rate(self.reads, self.rate_per_s, "reads")
            names = sorted(name for name in self.machines if name > token)
            rows = [{"machine": name, "pool": machine.pool, "state": machine.state,
                     "zone": machine.worker.zone if machine.worker else "zone-0",
                     "labels": ["a", "r1"],
                     "capacity": machine.worker.capacity if machine.worker else {},
                     "id": f"i-{machine.worker.name}" if machine.worker else None}
                    for name in names[:PAGE_MACHINES]
                    for machine in [self.machines[name]]]
            more = len(names) > PAGE_MACHINES
            return 200, {"machines": rows, "next_token": names[PAGE_MACHINES - 1] if more else None}

    def upkeep(self, holder, token, body):
        return self._duty("upkeep", holder, token, body,
                          lambda machine: self._begin_upkeep(machine, body))

    def move(self, holder, token, body):
        return self._duty("move", holder, token, body,
                          lambda machine: self._begin_move(machine, body))

    def _duty(self, kind, holder, token, body, action):
        with self.changed:
            name = body["machine"]
            machine = self.machines.get(name)
            if machine is None:
                status, answer = 400, {"error": "no such machine"}
            elif self.require_fence and token < machine.token:
                status, answer = 409, {"reason": "fence"}
            else:
                self._check_holder(name, holder, token)
                machine.token = token
                status, answer = action(machine)
            self.calls.append((time.monotonic(), kind, holder, token, name, status,
                               answer.get("reason")))
            self._check_rate([call[0] for call in self.calls], self.duty_per_s, "calls")
            return status, answer

    def _begin_upkeep(self, machine, body):
        wave = body["wave"]
        declared = self.store.value(f"op/wave/{wave}") or {"machines": []}
        if body["machine"] not in declared["machines"]:
            return 409, {"reason": "wave"}
        if wave in machine.waves_done:
            return 200, {}
        if body["machine"] in self.busy or machine.state != "up":
            return 409, {"reason": "busy"}
        down = sum(1 for other in self.machines.values() if other.down_for == wave)
        if down >= declared["max_count"]:
            self.violations.append(f"{down + 1} machines are down for wave {wave}")
        machine.waves_done.add(wave)
        self._take_down(machine, "upkeep", wave, self.maintenance)
        return 200, {}

    def _begin_move(self, machine, body):
        if machine.pool == body["pool"]:
            return 200, {}
        if body["machine"] in self.busy or machine.state != "up":
            return 409, {"reason": "busy"}
        machine.pool = body["pool"]
        self._take_down(machine, "moving", None, self.move_seconds)
        return 200, {}

    def _take_down(self, machine, state, wave, seconds):
        machine.state, machine.down_for = state, wave
        machine.up_at = time.monotonic() + seconds
        if machine.worker:
            machine.worker.go_down(seconds)

    def _check_holder(self, name, holder, token):
        for at, _, other, its_token, machine, *_ in self.calls:
            if machine == name and its_token == token and other != holder:
                self.violations.append(f"{holder} and {other} hold token {token}")
            if other != holder and time.monotonic() - at < LEASE_SECONDS * 0.9:
                self.violations.append(f"{holder} calls {time.monotonic() - at:.1f} s after {other}")

    def _check_rate(self, times, per_second, what):
        now = time.monotonic()
        lately = sum(1 for at in times if at > now - 1)
        if lately > max(1, per_second):
            self.violations.append(f"{lately} {what} in a second")

    def _tick(self):
        while True:
            time.sleep(0.02)
            with self.changed:
                for machine in self.machines.values():
                    if machine.state in ("upkeep", "moving") and time.monotonic() >= machine.up_at:
                        machine.state, machine.down_for = "up", None


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    machines = None

    def log_message(self, *_):
        pass

    def do_GET(self):
        url = urlparse(self.path)
        token = parse_qs(url.query).get("page_token", [""])[0]
        self._serve(url.path, {"/v1/machines": lambda _: self.machines.list(token)})

    def do_POST(self):
        holder = self.headers.get("Zinniacart-Duty-Holder", "")
        token = int(self.headers.get("Zinniacart-Fencing-Token", 0))
        self._serve(self.path, {
            "/v1/machine-upkeep": lambda body: self.machines.upkeep(holder, token, body),
            "/v1/machine-move": lambda body: self.machines.move(holder, token, body)})

    def _serve(self, path, actions):
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        if self.machines.away:
            return self._answer(503, {})
        action = actions.get(path)
        status, answer = action(json.loads(body) if body else {}) if action else (404, {})
        if self.command == "POST" and self.machines.lose_answers > 0:
            self.machines.lose_answers -= 1
            self.close_connection = True
            return
        self._answer(status, answer)

    def _answer(self, status, answer):
        data = json.dumps(answer).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


def serve(machines):
    """Serves `machines` on a port that the kernel chooses. @returns the server."""
    handler = type("MachinesHandler", (Handler,), {"machines": machines})
    server = QuietServer(("127.0.0.1", 0), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server
