"""A small stand-in for the users' platform's key-value store.

Speaks its published protocol: items with revisions, listings in pages, watches,
transactions, leases. Faults are set by tests: `mode` turns callers away or leaves
them without answers, `executes_late` carries out what was sent to a silent store
once it is no longer silent, `mode` of a server's handler does the same to its
callers only,
`lose_answers` carries writes out without answering, `drop_history` makes
watches fail as after a compaction, `stall_watches` leaves watches unanswered
while everything else is served.
"""

import base64
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse

PAGE_ITEMS = 500
MOST_ENTRIES = 32
READ_ONLY_PREFIXES = ("op/", "servers/")


class Store:
    """The state, and what each call does to it."""

    def __init__(self):
        self.changed = threading.Condition()
        self.revision = 100
        self.items = {}
        self.history = []
        self.oldest = 100
        self.leases = {}
        self.next_lease = 1000
        self.mode = None
        self.lose_answers = 0
        self.executes_late = False
        self.stall_watches = False
        self.stalled_watches = 0
        threading.Thread(target=self._expire, daemon=True).start()

    # Operators write here, past the rules for the system.
    def put(self, key, value):
        with self.changed:
            self._apply([{"key": key, "value": _encode(json.dumps(value))}], [])

    def put_raw(self, key, value):
        """As an odd writer: any text as the value; None: one that is not base64."""
        encoded = "not base64!" if value is None else _encode(value)
        with self.changed:
            self._apply([{"key": key, "value": encoded}], [])

    def remove(self, key):
        with self.changed:
            self._apply([], [key])

    def keys(self, prefix):
        with self.changed:
            return sorted(key for key in self.items if key.startswith(prefix))

    def value(self, key):
        with self.changed:
            item = self.items.get(key)
            return json.loads(base64.b64decode(item["value"])) if item else None

    def drop_history(self):
        with self.changed:
            self.history.clear()
            self.oldest = self.revision
            self.changed.notify_all()

    def drop_leases(self):
        with self.changed:
            for lease in list(self.leases):
                self._end_lease(lease)

    def get(self, key):
        with self.changed:
            item = self.items.get(key)
            return (200, dict(item, as_of=self.revision)) if item else (404, {})

    def list(self, prefix, after):
        with self.changed:
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = [self.items[key] for key in keys[:PAGE_ITEMS]]
            return 200, {"items": page, "has_more": len(keys) > PAGE_ITEMS,
                         "as_of": self.revision}

    def watch(self, prefix, after, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        with self.changed:
            while True:
                if after < self.oldest:
                    return 410, {}
                events = [event for event in self.history
                          if event["revision"] > after and event["key"].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "as_of": self.revision}
                self.changed.wait(left)

    def commit(self, body):
        conditions = body.get("precondition", [])
        writes, removals = body.get("writes", []), body.get("remove", [])
        if len(conditions) + len(writes) + len(removals) > MOST_ENTRIES:
            return 400, {"error": "too many entries"}
        touched = [write["key"] for write in writes] + removals
        if any(key.startswith(READ_ONLY_PREFIXES) for key in touched):
            return 403, {}
        with self.changed:
            if any(w.get("lease") and w["lease"] not in self.leases for w in writes):
                return 404, {}
            failed = [c for c in conditions if c["revision"] != self._revision_of(c["key"])]
            if failed:
                return 412, {"items": [
                    self.items.get(c["key"], {"key": c["key"], "revision": 0})
                    for c in conditions]}
            self._apply(writes, removals)
            return 200, {"revision": self.revision}

    def open_lease(self, ttl_ms):
        with self.changed:
            self.next_lease += 1
            self.leases[self.next_lease] = [ttl_ms / 1000, time.monotonic() + ttl_ms / 1000]
            return 200, {"lease": self.next_lease, "ttl_ms": ttl_ms}

    def renew_lease(self, lease):
        with self.changed:
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease][1] = time.monotonic() + ttl
            return 200, {"ttl_ms": int(ttl * 1000)}

    def end_lease(self, lease):
        with self.changed:
            if lease not in self.leases:
                return 404, {}
            self._end_lease(lease)
            return 200, {}

    def _revision_of(self, key):
        return self.items[key]["revision"] if key in self.items else 0

    def _apply(self, writes, removals):
        self.revision += 1
        for write in writes:
            old = self.items.get(write["key"])
            item = {"key": write["key"], "value": write["value"],
                    "revision": self.revision,
                    "created": old["created"] if old else self.revision,
                    "lease": write.get("lease", 0)}
            self.items[write["key"]] = item
            self.history.append(item)
        for key in removals:
            if self.items.pop(key, None):
                self.history.append(
                    {"key": key, "revision": self.revision, "tombstone": True})
        self.changed.notify_all()

    def _end_lease(self, lease):
        self.leases.pop(lease)
        self._apply([], [k for k, item in self.items.items() if item["lease"] == lease])

    def _expire(self):
        while True:
            time.sleep(0.02)
            with self.changed:
                if self.mode in ("busy", "silent"):
                    continue  # Leases pause while the store is down.
                now = time.monotonic()
                for lease in [n for n, (_, end) in self.leases.items() if end < now]:
                    self._end_lease(lease)


# Answers from this size on take a thin link so many parts and seconds each.
THIN_LINK_NOTICES = 1000
THIN_LINK_PARTS = 10
THIN_LINK_PAUSE = 0.25


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    store = None
    mode = None

    def log_message(self, *_):
        pass

    def do_GET(self):
        self._serve(self._read)

    def do_POST(self):
        self._serve(self._write)

    def do_DELETE(self):
        self._serve(lambda body: self.store.end_lease(int(self.path.rsplit("/", 1)[1])))

    def _serve(self, action):
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        if "busy" in (self.store.mode, self.mode):
            return self._answer(503, {})
        if "silent" in (self.store.mode, self.mode):
            while "silent" in (self.store.mode, self.mode):
                time.sleep(0.05)
            if self.store.executes_late:
                action(json.loads(body) if body else {})
            self.close_connection = True
            return
        status, answer = action(json.loads(body) if body else {})
        if self.command == "POST" and "kv-txn" in self.path and self.store.lose_answers > 0:
            self.store.lose_answers -= 1
            time.sleep(1.5)
            self.close_connection = True
            return
        self._answer(status, answer)

    def _read(self, _):
        url = urlparse(self.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/v1/kv-key":
            return self.store.get(query["key"])
        if url.path == "/v1/kv-range":
            return self.store.list(query["prefix"], query.get("after", ""))
        if url.path == "/v1/kv-watch":
            self.store.stalled_watches += self.store.stall_watches
            while self.store.stall_watches:
                time.sleep(0.05)
            return self.store.watch(query["prefix"], int(query["after"]),
                                    int(query["wait_ms"]))
        return 404, {}

    def _write(self, body):
        if self.path == "/v1/kv-txn":
            return self.store.commit(body)
        if self.path == "/v1/kv-lease":
            return self.store.open_lease(body["ttl_ms"])
        if self.path.startswith("/v1/kv-keep/"):
            return self.store.renew_lease(int(self.path.rsplit("/", 1)[1]))
        return 404, {}

    def _answer(self, status, answer):
        data = json.dumps(answer).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        if self.store.mode == "thin" and len(data) > THIN_LINK_NOTICES:
            return self._write_slowly(data)
        self.wfile.write(data)

    def _write_slowly(self, data):
        """Writes as over a thin link: slow as a whole, without long pauses."""
        part = len(data) // THIN_LINK_PARTS + 1
        for begin in range(0, len(data), part):
            time.sleep(THIN_LINK_PAUSE)
            self.wfile.write(data[begin:begin + part])
            self.wfile.flush()


class QuietServer(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        pass  # Peers that are killed reset their connections.


def serve(store):
    """Serves `store` on a port that the kernel chooses. @returns the server."""
    handler = type("StoreHandler", (Handler,), {"store": store})
    server = QuietServer(("127.0.0.1", 0), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


def _encode(text):
    return base64.b64encode(text.encode()).decode()
