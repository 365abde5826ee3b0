"""Callers that put load on a site and judge every answer."""

import http.client
import threading


class Callers:
    """Threads that book pickups, each under a key of its own, until stopped.

    A caller checks that each answer is its own and whole. `outcomes` maps
    each key to the last outcome it was given.
    """

    def __init__(self, site, count=8, entries=None, service="echo", method="POST",
                 keyed=True, headers=None):
        self.site = site
        self.service = service
        self.method = method
        self.keyed = keyed
        self.headers = headers or {}
        self.entries = entries if entries is not None else range(len(site.entries))
        self.stopping = threading.Event()
        self.lock = threading.Lock()
        self.outcomes = {}
        self.wrong = []
        self.refusals = []
        self.threads = [threading.Thread(target=self._run, args=(n,)) for n in range(count)]
        for thread in self.threads:
            thread.start()

    def count(self, outcome):
        with self.lock:
            return sum(1 for value in self.outcomes.values() if value == outcome)

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def _run(self, number):
        serial = 0
        while not self.stopping.is_set():
            serial += 1
            key = f"key-{number}-{serial}"
            entry = list(self.entries)[(number + serial) % len(list(self.entries))]
            outcome = self.ask(key, entry)
            with self.lock:
                self.outcomes[key] = outcome

    def ask(self, key, entry):
        body = f"body of {key} " + "x" * 200
        path = f"/pickups/{key}"
        headers = dict(self.headers)
        if self.keyed:
            headers["Idempotency-Key"] = key
        try:
            status, outcome, text = self.site.call(
                self.method, f"/s/{self.service}{path}", body, headers, entry=entry)
        except (OSError, http.client.HTTPException):
            return "connection-lost"
        if outcome == "answered":
            if status != 200 or text != f"{path}\n{body}":
                with self.lock:
                    self.wrong.append((key, status, text[:80]))
        if outcome == "not-run":
            with self.lock:
                self.refusals.append((status, text))
        return outcome


def judge(test, callers, backends, site):
    """Asserts the promises on requests over everything that was asked."""
    runs = {}
    for backend in backends:
        for key, count in site.ledger(backend).items():
            runs[key] = runs.get(key, 0) + count
    test.assertEqual([], callers.wrong, "an answer was cut short or not the caller's own")
    doubled = {key: count for key, count in runs.items() if count > 1}
    test.assertEqual({}, doubled, "a request ran twice")
    false_refusals = [key for key, outcome in callers.outcomes.items()
                      if outcome == "not-run" and runs.get(key, 0) > 0]
    test.assertEqual([], false_refusals, "a refusal that said not-run was false")
    false_answers = [key for key, outcome in callers.outcomes.items()
                     if outcome == "answered" and runs.get(key, 0) == 0]
    test.assertEqual([], false_answers, "an answer came from nowhere")
    return runs
