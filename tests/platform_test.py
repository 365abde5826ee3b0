"""Promises on the users' platform, through the real daemons and stand-ins."""

import json
import secrets
import signal
import socket
import sys
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tools"))
from platform_site import HOST_HEADER, QUEUE, PlatformSite, wait_for  # noqa: E402

# By then after its acknowledgement a configuration must be in force.
CONFIGURATION_DEADLINE_SECONDS = 2.0


STEPS = [{"count": 3, "cpu": 500, "mem_mb": 100, "estimate_ms": 200},
         {"count": 2, "cpu": 500, "mem_mb": 100, "estimate_ms": 200, "after": [0]}]


def ask(caller, path):
    """Sends a request on an open connection."""
    caller.sendall(f"GET {path} HTTP/1.1\r\nHost: {HOST_HEADER}\r\n\r\n".encode())


def answer(caller, patience=5):
    """@returns the status of the response to the last request of the connection."""
    caller.settimeout(patience)
    return int(caller.recv(4096).split(b" ")[1])


class Platform(unittest.TestCase):

    def assert_each_task_ran_once_at_a_time(self, site, job):
        """No two runs of a task overlap, and every task was run."""
        runs = {}
        for run in site.runs(job):
            runs.setdefault(run.task, []).append(run)
        for task, same in runs.items():
            same.sort(key=lambda run: run.begun)
            for before, after in zip(same, same[1:]):
                self.assertIsNotNone(before.ended, task)
                self.assertLessEqual(before.ended, after.begun, task)
        return runs

    def completes(self, site, job, entry=0):
        wait_for("the job completes", lambda: site.state(job, entry) == "completed")
        return self.assert_each_task_ran_once_at_a_time(site, job)

    def test_a_job_of_steps_runs_in_order_and_is_shown_by_every_entry(self):
        with PlatformSite() as site:
            job = site.submit(STEPS)
            runs = self.completes(site, job, entry=1)
            self.assertEqual(5, len(runs))
            first = max(run.ended for task, same in runs.items() for run in same
                        if ".0.0." in task)
            second = min(run.begun for task, same in runs.items() for run in same
                         if ".0.1." in task)
            self.assertLessEqual(first, second)

    def test_a_repeated_submission_is_the_same_job(self):
        with PlatformSite() as site:
            job = site.submit(STEPS)
            site.submit(STEPS, entry=1, job=job)
            self.assertEqual(5, len(self.completes(site, job)))
            site.submit(STEPS, job=job)
            self.assertEqual("completed", site.state(job))
            self.assertEqual(5, len(site.runs(job)))

    def test_unknown_jobs_and_queues_are_told_apart(self):
        with PlatformSite() as site:
            self.assertEqual(410, site.call("GET", QUEUE + "0" * 16)[0])
            self.assertEqual(410, site.call("DELETE", QUEUE + "0" * 16)[0])
            self.assertEqual(404, site.call("GET", "/nobody/" + "0" * 16)[0])
            wait_for("waiting jobs are counted",
                     lambda: site.call("GET", QUEUE) == (200, {"waiting": 0}))

    def test_bad_input_gets_a_typed_error_and_harms_nobody(self):
        with PlatformSite() as site:
            for body in [{"spec": 1}, {"spec": "x", "steps": []}, [1, 2],
                         {"spec": "x", "steps": [{"count": -1}]},
                         {"spec": "x" * 5000, "steps": STEPS},
                         {"spec": "x", "steps": [dict(STEPS[0], after=[0])]}]:
                status, answer = site.call("POST", QUEUE + "a" * 16, body)
                self.assertEqual(400, status, body)
                self.assertIn("error", answer)
            self.assertEqual(400, site.call("POST", QUEUE + "not-an-id", {})[0])
            self.completes(site, site.submit(STEPS))

    def test_a_request_that_is_not_utf8_is_refused_and_ends_no_entry(self):
        with PlatformSite(entries=1) as site:
            port = site.entries[0].ports[1]
            host = f"Host: {HOST_HEADER}\r\n".encode()
            for request in [b"GET " + QUEUE.encode() + b"\xff HTTP/1.1\r\n" + host + b"\r\n",
                            b"POST " + QUEUE.encode() + b"a" * 16 + b" HTTP/1.1\r\n" + host
                            + b"Content-Length: 12\r\n\r\n" + b'{"spec":"\xff"}']:
                with socket.create_connection(("127.0.0.1", port), 5) as connection:
                    connection.sendall(request)
                    self.assertIn(b" 400 ", connection.recv(200))
            self.completes(site, site.submit(STEPS))
            self.assertIsNone(site.entries[0].child.poll())

    def test_odd_items_of_another_writer_cost_only_themselves(self):
        deep = "[" * 100000 + "]" * 100000
        odd = {
            "zinniacart/work/hosts/odd": ["127.0.0.1:99999", "", "x", deep, None],
            "zinniacart/work/jobs/" + "a" * 16: [
                deep, "", '{"steps":' + deep + "}", None],
            "zinniacart/work/jobs/": ["{}", None],
            "zinniacart/work/cancelled/odd": [None],
            "zinniacart/progress/" + "a" * 16: [deep, '{"state":7}', None],
            "zinniacart/entries/at/odd": [
                '{"address":"127.0.0.1:99999","cores":1e300}', deep, None],
            "zinniacart/entries/epoch": [
                "18446744073709551614", "18446744073709551616", "-1", deep, None],
            "zinniacart/entries/owner": [
                '{"entry":"odd","address":"127.0.0.1:99999","epoch":1}', deep, "", None],
            "zinniacart/learned/interference": ['{"version":1e300}', deep, None],
            "zinniacart/learned/run-times": [
                '{"version":1,"queues":[["q",-1]]}', deep, None],
            "op/evacuate/odd": [deep, None],
            "op/config": [deep, None]}
        with PlatformSite() as site:
            for round_number in range(max(len(values) for values in odd.values())):
                owner = site.owner()
                for key, values in odd.items():
                    site.store.put_raw(key, values[round_number % len(values)])
                owner.kill()
                other = 1 - site.entries.index(owner)
                self.completes(site, site.submit(STEPS, entry=other), other)
                queue = f"/more-{round_number}/"
                site.configure(round_number + 2, (QUEUE, queue))
                wait_for("the new queue is served", lambda: site.call(
                    "GET", queue, entry=other)[0] == 200)
                owner.start()
                wait_for("the entry is ready", lambda: site.ready(1 - other))
                for node in site.entries + site.agents:
                    self.assertIsNone(node.child.poll(), node.name)

    def test_an_odd_check_in_costs_only_itself(self):
        deep = "[" * 100000 + "]" * 100000
        with PlatformSite(hosts=1) as site:
            worker, agent = site.workers[0], site.agents[0]
            wait_for("the worker checks in", lambda: worker.sequence > 1)
            sound = {"service": worker.service, "zone": worker.zone, "state": "ready",
                     "seq_no": worker.sequence + 1, "born": worker.born,
                     "capacity": worker.capacity, "labels": ["a", "r1"]}
            path = "/v1/Instances.Heartbeat/i-w0"
            for target, body in [
                    (path, deep), (path, ""), (path, b"\xff"), (path, "[]"),
                    (path + "\xff", json.dumps(sound)),
                    (path, json.dumps(dict(sound, labels="odd")).replace('"odd"', deep)),
                    (path, json.dumps(dict(sound, seq_no=-1))),
                    (path, json.dumps(dict(sound, seq_no=2 ** 64))),
                    (path, json.dumps(dict(sound, seq_no=1e300))),
                    (path, json.dumps(dict(sound, state="resting"))),
                    (path, json.dumps(dict(sound, capacity={"cpu": -1, "mem_mb": 1})))]:
                data = body if isinstance(body, bytes) else body.encode()
                head = (f"POST {target} HTTP/1.1\r\nHost: x\r\n"
                        f"Content-Length: {len(data)}\r\n\r\n")
                with socket.create_connection(("127.0.0.1", agent.ports[3]), 5) as connection:
                    connection.sendall(head.encode("latin-1") + data)
                    self.assertIn(b" 400 ", connection.recv(200), target + str(body)[:200])
            self.completes(site, site.submit(STEPS))
            worker.draining = True
            time.sleep(1.0)
            before = len(worker.log)
            site.submit(STEPS)
            time.sleep(1.0)
            self.assertEqual(before, len(worker.log))
            self.assertIsNone(agent.child.poll())

    def test_odd_rows_and_answers_of_a_worker_cost_only_themselves(self):
        with PlatformSite(entries=1, hosts=1) as site:
            worker = site.workers[0]
            start, hold = worker.start, worker.hold

            def odd_hold(body):
                status, answer = hold(body)
                if status == 200:
                    answer["running"] = [["somebody's", 1, "", 0, 0]] + [
                        [task, run, None, 1e300, None]
                        for task, run, *_ in answer["running"]]
                    answer["ended"] = [[0, "somebody's", 1, "resting", ""]] + answer["ended"]
                return status, answer

            worker.hold = odd_hold
            worker.start = lambda body: (409, {"reason": 5})
            job = site.submit(STEPS)
            time.sleep(1.0)
            worker.start = start
            self.completes(site, job)
            self.assertIsNone(site.agents[0].child.poll())

    def test_a_cancelled_job_stops_and_stays_cancelled(self):
        with PlatformSite() as site:
            job = site.submit(STEPS, seconds=60)
            wait_for("a task runs", lambda: site.runs(job))
            self.assertEqual(200, site.call("DELETE", QUEUE + job, entry=1)[0])
            wait_for("its tasks are stopped",
                     lambda: all(run.ended for run in site.runs(job)))
            self.assertEqual("cancelled", site.state(job))
            site.submit(STEPS, job=job)
            self.assertEqual("cancelled", site.state(job))

    def test_a_killed_owner_is_succeeded_and_nothing_is_lost_or_doubled(self):
        with PlatformSite(entries=3) as site:
            jobs = [site.submit(STEPS, seconds=1.0, entry=n % 3) for n in range(6)]
            owner = site.owner()
            owner.kill()
            other = next(n for n, e in enumerate(site.entries) if e is not owner)
            for job in jobs:
                self.assertEqual(5, len(self.completes(site, job, other)))

    def test_a_new_owner_knows_what_was_learned_about_interference(self):
        step = {"count": 1, "cpu": 500, "mem_mb": 100, "estimate_ms": 200}
        record = "zinniacart/learned/interference"
        with PlatformSite(entries=3, hosts=1) as site:
            serving = site.submit([dict(step, perpetual=True, image="front", target_ms=100)],
                                  seconds=120)
            batch = site.submit([dict(step, fills=True, image="batch")], seconds=120)
            site.workers[0].measures = {serving: 40, batch: 500}
            wait_for("the pair is learned and stored", lambda: site.store.value(record))
            pairs = site.store.value(record)["pairs"]
            self.assertEqual(["front", "batch"], pairs[0][:2])
            owner = site.owner()
            owner.kill()
            wait_for("another entry owns", lambda: site.owner() not in (owner, None))
            wait_for("it has loaded the record",
                     lambda: "learned interference loaded" in site.owner().log_path.read_text())

    def test_a_new_owner_knows_what_was_learned_about_run_times(self):
        record = "zinniacart/learned/run-times"
        with PlatformSite(entries=3, hosts=1) as site:
            self.completes(site, site.submit(STEPS, seconds=1.0))
            wait_for("the run times are stored", lambda: site.store.value(record))
            self.assertLessEqual(1, site.store.value(record)["queues"][0][1])
            owner = site.owner()
            owner.kill()
            wait_for("another entry owns", lambda: site.owner() not in (owner, None))
            wait_for("it has loaded the record",
                     lambda: "learned run times loaded" in site.owner().log_path.read_text())

    def test_a_stronger_entry_takes_over_and_a_weak_one_helps_out(self):
        with PlatformSite(entries=1, cpu_share=0.05) as site:
            weak = site.owner()
            jobs = [site.submit(STEPS, seconds=1.0) for _ in range(4)]
            strong = site.add_entry(0.5)
            wait_for("the stronger entry owns", lambda: site.owner() is strong)
            for job in jobs:
                self.assertEqual(5, len(self.completes(site, job)))
            strong.kill()
            wait_for("the weak entry owns again", lambda: site.owner() is weak)
            self.assertEqual(5, len(self.completes(site, site.submit(STEPS))))

    def test_a_frozen_owner_wakes_deposed(self):
        with PlatformSite(entries=3) as site:
            owner = site.owner()
            index = site.entries.index(owner)
            jobs = [site.submit(STEPS, seconds=1.0) for _ in range(4)]
            owner.child.send_signal(signal.SIGSTOP)
            wait_for("another entry owns", lambda: site.owner() not in (None, owner))
            owner.child.send_signal(signal.SIGCONT)
            for job in jobs:
                self.completes(site, job, index)

    def test_after_a_kill_of_everything_what_was_accepted_completes(self):
        with PlatformSite() as site:
            jobs = [site.submit(STEPS, seconds=1.0) for _ in range(4)]
            for node in site.entries + site.agents:
                node.kill()
            for node in site.agents + site.entries:
                node.start()
            for job in jobs:
                self.completes(site, job)

    def test_a_takeover_over_a_thin_link_loads_what_is_stored(self):
        with PlatformSite() as site:
            jobs = [site.submit(STEPS, seconds=1.0) for _ in range(4)]
            for node in site.entries + site.agents:
                node.kill()
            site.store.mode = "thin"
            for node in site.agents + site.entries:
                node.start()
            for job in jobs:
                self.completes(site, job)

    def test_a_store_that_is_away_refuses_and_loses_nothing(self):
        with PlatformSite() as site:
            job = site.submit(STEPS, seconds=1.0)
            wait_for("a task runs", lambda: site.runs(job))
            site.store.mode = "busy"
            refused = "b" * 16
            status, _ = site.call("POST", QUEUE + refused, {"spec": "0.1 500", "steps": STEPS})
            self.assertEqual(503, status)
            site.store.mode = None
            self.completes(site, job)
            self.assertEqual(410, site.call("GET", QUEUE + refused)[0])
            self.assertEqual([], site.runs(refused))

    def test_submissions_to_a_silent_store_are_refused_and_never_run(self):
        """The store carries out late whatever it was sent while it was silent."""
        with PlatformSite() as site:
            self.completes(site, site.submit(STEPS))
            site.store.executes_late = True
            site.store.mode = "silent"
            for entry in site.entries:
                wait_for("the entry notices", lambda: "store is away" in
                         entry.log_path.read_text())
            refused = [character * 16 for character in "abcdef"]
            for number, job in enumerate(refused):
                status, _ = site.call("POST", QUEUE + job, {"spec": "0.1 500", "steps": STEPS},
                                      entry=number % 2)
                self.assertEqual(503, status)
                self.assertIn(int(site.last_headers["Retry-After"]), range(1, 6))
            site.store.mode = None
            for entry in range(2):
                self.completes(site, site.submit(STEPS, entry=entry), entry)
            for job in refused:
                self.assertEqual(410, site.call("GET", QUEUE + job)[0])
                self.assertEqual([], site.runs(job))

    def test_an_entry_that_the_store_turns_away_stores_through_another(self):
        for mode in ("silent", "busy"):
            with self.subTest(mode), PlatformSite() as site:
                site.doors[0].mode = mode
                wait_for("the entry notices", lambda: "store is away" in
                         site.entries[0].log_path.read_text())
                jobs = [secrets.token_hex(8) for _ in range(3)]
                for job in jobs:
                    self.assertEqual(200, site.call(
                        "POST", QUEUE + job, {"spec": "0.1 500", "steps": STEPS})[0])
                site.doors[0].mode = None
                for job in jobs:
                    self.completes(site, job)

    def test_a_job_that_would_end_too_late_is_refused_and_never_runs(self):
        """Work of a higher priority fills the site for half a minute."""
        late = "/late/"
        with PlatformSite() as site:
            site.configure(2, (QUEUE, late), {late: 1})
            wait_for("the queue is known", lambda: site.call("GET", late)[0] == 200)
            for _ in range(60):
                site.submit([{"count": 4, "cpu": 1000, "mem_mb": 10, "estimate_ms": 1000}],
                            seconds=1.0)
            accepted = []
            # The owner's advice reaches this entry with answers to its notices.
            entry = 1 - site.entries.index(site.owner())

            def refused_job():
                job = secrets.token_hex(8)
                status, _ = site.call("POST", late + job, {"spec": "0.2 500", "steps": STEPS},
                                      entry)
                if status == 503:
                    return job
                self.assertEqual(200, status)
                accepted.append(job)
                time.sleep(0.3)
                return None

            refused = wait_for("a job is refused", refused_job)
            self.assertIn(int(site.last_headers["Retry-After"]), range(1, 31))
            wait_for("the log names the reason", lambda: "refused: backlog" in
                     site.entries[entry].log_path.read_text())
            self.assertEqual(200, site.call("POST", late + accepted[0],
                                            {"spec": "0.2 500", "steps": STEPS}, entry)[0])
            self.assertEqual(410, site.call("GET", late + refused)[0])
            self.assertEqual([], site.runs(refused))

    def test_answers_lost_by_the_store_are_found_out(self):
        with PlatformSite() as site:
            site.store.lose_answers = 4
            jobs = [site.submit(STEPS) for _ in range(3)]
            for job in jobs:
                self.assertEqual(5, len(self.completes(site, job)))

    def test_a_store_that_drops_its_history_and_leases_is_followed_again(self):
        with PlatformSite() as site:
            site.store.drop_history()
            site.store.drop_leases()
            self.completes(site, site.submit(STEPS))
            site.configure(2, (QUEUE, "/more/"))
            wait_for("the new queue is known",
                     lambda: site.call("GET", "/more/")[0] == 200)

    def test_requests_that_waited_out_a_pause_are_decided_by_the_newest_configuration(self):
        """They lie in the entry's sockets beside the watch's response."""
        with PlatformSite(entries=2) as site:
            paused = next(entry for entry in site.entries if entry is not site.owner())
            site.configure(2, (QUEUE, "/dropped/"))
            wait_for("the route is there", lambda: site.call(
                "GET", "/dropped/", entry=site.entries.index(paused))[0] == 200)
            callers = [socket.create_connection(("127.0.0.1", paused.ports[1]))
                       for _ in range(20)]
            for caller in callers:
                ask(caller, QUEUE)
                self.assertEqual(200, answer(caller))
            paused.child.send_signal(signal.SIGSTOP)
            site.configure(3, (QUEUE, "/added/"))
            time.sleep(CONFIGURATION_DEADLINE_SECONDS + 0.1)
            for number, caller in enumerate(callers):
                ask(caller, "/dropped/" if number % 2 else "/added/")
            paused.child.send_signal(signal.SIGCONT)
            answers = [answer(caller) for caller in callers]
            for caller in callers:
                caller.close()
            self.assertEqual([200, 404] * 10, answers)

    def test_a_new_configuration_is_in_force_in_time_while_watches_stall(self):
        with PlatformSite() as site:
            site.store.stall_watches = True
            time.sleep(1.5)  # The watches that were waiting have been answered.
            self.assertGreater(site.store.stalled_watches, 0)
            site.configure(2, (QUEUE, "/added/"))
            time.sleep(CONFIGURATION_DEADLINE_SECONDS)
            for entry in range(2):
                status, _ = site.call("GET", "/added/" + "0" * 16, entry=entry)
                self.assertEqual(410, status)  # The queue is known, the job is not.
            site.store.stall_watches = False

    def test_a_backlog_of_large_configurations_does_not_stop_the_watch(self):
        with PlatformSite(entries=1, hosts=0) as site:
            routes = tuple(f"/queue-{number}/" for number in range(4000))
            site.store.mode = "silent"
            for version in range(2, 13):
                site.configure(version, (QUEUE, *routes))
            site.configure(13, (QUEUE, "/added/", *routes))
            site.store.mode = None
            wait_for("the added queue is known",
                     lambda: site.call("GET", "/added/")[0] == 200)

    def test_requests_may_name_the_host_in_any_case_or_in_the_target(self):
        with PlatformSite(entries=1, hosts=0) as site:
            wait_for("waiting jobs are counted", lambda: site.call("GET", QUEUE)[0] == 200)
            for target, host in [(QUEUE, HOST_HEADER.upper()),
                                 (QUEUE, HOST_HEADER + ":8080"),
                                 (f"http://{HOST_HEADER}{QUEUE}", HOST_HEADER),
                                 (f"HTTP://{HOST_HEADER.upper()}:80{QUEUE}?x=/y", "other.example")]:
                self.assertEqual((200, {"waiting": 0}),
                                 site.call("GET", target, host=host), (target, host))
            for target, host in [(QUEUE, "other.example"),
                                 (f"http://other.example{QUEUE}", HOST_HEADER),
                                 (f"http://{HOST_HEADER}", HOST_HEADER)]:
                self.assertEqual(404, site.call("GET", target, host=host)[0], (target, host))

    def test_a_job_outlives_the_name_of_its_route(self):
        with PlatformSite(hosts=1) as site:
            job = site.submit(STEPS)
            self.completes(site, job)
            for version, prefix, name in [(2, "/other/", "other"), (3, QUEUE, "renamed")]:
                site.store.put("op/config", {"version": version, "routes": [
                    {"name": name, "host": HOST_HEADER, "prefix": prefix, "service": "orders"}]})
                for entry in range(2):
                    wait_for("the route is known",
                             lambda: site.call("GET", prefix, entry=entry)[0] == 200)
            for entry in range(2):
                self.assertEqual((200, {"state": "completed"}),
                                 site.call("GET", QUEUE + job, entry=entry))
            owner = site.owner()
            site.entries[1 - site.entries.index(owner)].kill()
            owner.kill()
            owner.start()
            wait_for("the job is shown again",
                     lambda: site.state(job, site.entries.index(owner)) == "completed")

    def test_a_worker_that_restarts_under_its_id_has_lost_its_tasks(self):
        with PlatformSite(hosts=1) as site:
            job = site.submit(STEPS, seconds=1.0)
            wait_for("a task runs", lambda: site.runs(job))
            site.workers[0].restart()
            self.completes(site, job)

    def test_a_task_that_crashes_its_workers_is_given_up_and_no_other(self):
        step = {"count": 1, "cpu": 500, "mem_mb": 100, "estimate_ms": 200}
        with PlatformSite(entries=3, hosts=4) as site:
            def crashes():
                return sum(worker.crashes for worker in site.workers)

            sound = [site.submit(STEPS, seconds=0.5) for _ in range(4)]
            guilty = site.submit([step], seconds=-1)
            sound += [site.submit(STEPS, seconds=0.5) for _ in range(4)]
            # What is suspected outlives the owner and the agent.
            wait_for("a worker crashes", crashes)
            crashed = next(n for n, worker in enumerate(site.workers) if worker.crashes)
            site.agents[crashed].kill()
            site.agents[crashed].start_first()
            owner = site.owner()
            owner.kill()
            other = next(n for n, entry in enumerate(site.entries) if entry is not owner)
            wait_for("the job is given up", lambda: site.state(guilty, other) == "failed")
            self.assertLessEqual(len(site.runs(guilty)), 5)
            self.assertGreaterEqual(crashes(), 2)
            for job in sound:
                self.completes(site, job, other)
            # The operator finds the crashed workers by the task's id.
            verdict = wait_for("the verdict is logged", lambda: next(
                (line for entry in site.entries
                 for line in entry.log_path.read_text().splitlines()
                 if guilty in line and "the task crashes the workers" in line), None))
            named = [worker for number, worker in enumerate(site.workers)
                     if f"host-{number}" in verdict]
            self.assertGreaterEqual(len(named), 2)
            self.assertTrue(all(worker.crashes for worker in named))

    def test_a_worker_that_fails_by_itself_blames_no_task(self):
        step = {"count": 160, "cpu": 500, "mem_mb": 100, "estimate_ms": 400}
        with PlatformSite(hosts=2) as site:
            job = site.submit([step], seconds=0.4)
            for _ in range(3):
                wait_for("a task runs", lambda: site.workers[0].running)
                site.workers[0].crash()
            self.completes(site, job)

    def test_a_capacity_that_shrinks_and_grows_is_kept_to(self):
        step = {"count": 12, "cpu": 1000, "mem_mb": 100, "estimate_ms": 500}
        with PlatformSite(hosts=1, cores=4) as site:
            worker = site.workers[0]
            worker.guards_capacity = False
            job = site.submit([step], seconds=0.8)
            wait_for("the worker is full", lambda: len(worker.running) == 4)
            worker.capacity = dict(worker.capacity, cpu=2000)
            known = time.time() + 1.0  # An announcement and its way to the owner.
            wait_for("tasks run in what is left",
                     lambda: time.time() > known and 0 < len(worker.running) <= 2)
            late = [start for start in worker.overfilled if start[0] > known]
            worker.capacity = dict(worker.capacity, cpu=4000)
            wait_for("the worker is full again", lambda: len(worker.running) > 2)
            self.completes(site, job)
            self.assertEqual([], late)

    def test_orders_carried_out_late_start_nothing(self):
        with PlatformSite() as site:
            site.workers[0].answer_late = 1.5
            job = site.submit(STEPS)
            time.sleep(0.5)
            self.completes(site, job)

    def test_an_evacuated_domain_and_a_draining_worker_get_nothing(self):
        with PlatformSite() as site:
            site.store.put("op/evacuate/zone-0", {})
            wait_for("both entries know", lambda: all(
                "domain drained" in e.log_path.read_text() for e in site.entries))
            self.completes(site, site.submit(STEPS))
            self.assertEqual([], site.workers[0].log)
            site.store.remove("op/evacuate/zone-0")
            site.workers[1].draining = True
            time.sleep(1.0)
            before = len(site.workers[1].log)
            self.completes(site, site.submit(STEPS))
            self.assertEqual(before, len(site.workers[1].log))

    def serving(self, site, count, cpu=500):
        """Submits a perpetual serving job and waits until all of it is at work."""
        step = {"count": count, "cpu": cpu, "mem_mb": 100, "estimate_ms": 200,
                "perpetual": True, "image": "front", "target_ms": 100, "may_miss": 1}
        job = site.submit([step], seconds=600)
        wait_for("all tasks are at work", lambda: len(self.at_work(site, job)) == count)
        return job

    def at_work(self, site, job):
        return [run for run in site.runs(job) if not run.ended]

    def assert_one_away_at_most(self, site, job, count, since):
        """Fewer than `count` - 1 tasks were never at work at once, as far as the
        starts and ends show it."""
        changes = [(run.begun, 1) for run in site.runs(job)]
        changes += [(run.ended, -1) for run in site.runs(job) if run.ended]
        at_work = 0
        for at, change in sorted(changes):
            at_work += change
            if at > since:
                self.assertGreaterEqual(at_work, count - 1)

    def test_a_wave_takes_each_machine_down_once_and_spares_serving_tasks(self):
        with PlatformSite(hosts=4, machines=True) as site:
            job = self.serving(site, 4)
            since = time.time()
            names = [f"m-{worker.name}" for worker in site.workers]
            site.wave(1, names, max_count=2)
            wait_for("the wave is completed", lambda: site.wave_state(1) == "completed", 60)
            self.assertEqual(sorted(names),
                             sorted(call[4] for call in site.machines.calls if call[5] == 200))
            wait_for("all tasks are at work", lambda: len(self.at_work(site, job)) == 4)
            self.assert_one_away_at_most(site, job, 4, since)
            self.assertEqual([], site.machines.violations)
            self.assertIn('zinniacart_wave_machines{state="done",wave="1"}',
                          site.metrics(site.owner()))
            self.assertIn("zinniacart_waves_late 0", site.metrics(site.owner()))

    def test_without_a_wave_the_machine_service_is_not_called(self):
        with PlatformSite(machines=True) as site:
            self.completes(site, site.submit(STEPS))
            time.sleep(4.0)
            self.assertEqual(([], []), (site.machines.reads, site.machines.calls))
            self.assertEqual([], site.store.keys("zinniacart/upkeep/"))

    def test_machines_that_are_busy_are_asked_once_also_after_a_takeover(self):
        with PlatformSite(entries=3, hosts=3, machines=True) as site:
            job = self.serving(site, 3)
            names = [f"m-{worker.name}" for worker in site.workers]
            site.machines.busy = set(names)
            site.wave(1, names, duration=8)
            # An owner that dies before it has recorded an answer leaves the call
            # to be repeated.
            record = "zinniacart/upkeep/1"
            wait_for("each answer is recorded", lambda: [row[0] for row in (
                site.store.value(record) or {"machines": {}})["machines"].values()]
                == ["refused"] * 3)
            site.owner().kill()
            time.sleep(8.0)
            self.assertEqual(len(names), len(site.machines.calls))
            self.assertEqual("running", site.wave_state(1))
            self.assertEqual(3, len(self.at_work(site, job)))
            self.assertIn('zinniacart_wave_machines{state="refused",wave="1"} 3',
                          site.metrics(site.owner()))
            self.assertIn("zinniacart_waves_late 1", site.metrics(site.owner()))
            self.assertIn("upkeep refused", "".join(
                entry.log_path.read_text() for entry in site.entries))
            self.assertEqual([], site.machines.violations)

    def test_a_wave_outlives_killed_holders_and_lost_answers(self):
        with PlatformSite(entries=3, hosts=3, machines=True) as site:
            job = self.serving(site, 3)
            names = [f"m-{worker.name}" for worker in site.workers]
            site.machines.lose_answers = 1
            site.wave(1, names)
            wait_for("a machine goes down", lambda: site.machines.calls)
            killed = site.owner()
            killed.kill()
            wait_for("the wave is completed", lambda: site.wave_state(1) == "completed", 90)
            killed.start()
            self.assertTrue(all(machine.waves_done for machine in site.machines.machines.values()))
            self.assertGreater(len({call[3] for call in site.machines.calls}), 1)
            wait_for("all tasks are at work", lambda: len(self.at_work(site, job)) == 3)
            self.assertEqual([], site.machines.violations)

    def test_a_holder_that_was_frozen_does_not_call_any_more(self):
        with PlatformSite(entries=3, hosts=3, machines=True) as site:
            names = [f"m-{worker.name}" for worker in site.workers]
            site.wave(1, names)
            wait_for("the wave begins", lambda: site.wave_state(1) == "running")
            frozen = site.owner()
            frozen.child.send_signal(signal.SIGSTOP)
            wait_for("another entry owns", lambda: site.owner() not in (frozen, None))
            frozen.child.send_signal(signal.SIGCONT)
            thawed = time.monotonic()
            wait_for("the wave is completed", lambda: site.wave_state(1) == "completed", 60)
            self.assertEqual([], [call for call in site.machines.calls
                                  if call[2] == frozen.name and call[0] > thawed])
            self.assertEqual([], site.machines.violations)

    def test_a_wave_waits_for_its_service_and_not_for_machines_that_leave(self):
        with PlatformSite(hosts=2, machines=True) as site:
            site.machines.add("m-other")
            site.machines.busy = {"m-other"}
            site.machines.away = True
            site.wave(1, ["m-w0", "m-w1", "m-other"])
            time.sleep(5.0)
            self.assertEqual([], site.machines.calls)
            site.machines.away = False
            wait_for("its machines are asked", lambda: len(site.machines.calls) >= 3)
            self.assertEqual("running", site.wave_state(1))
            site.machines.remove("m-other")
            wait_for("the wave is completed", lambda: site.wave_state(1) == "completed")
            self.assertEqual([], site.machines.violations)

    def test_a_planned_stop_answers_what_was_asked(self):
        with PlatformSite() as site:
            entry = site.entries[0]
            entry.child.terminate()
            wait_for("it says it is not ready", lambda: not site.ready(0))
            while entry.child.poll() is None:
                status, _ = site.call("GET", QUEUE)
                if status is None:
                    break
                self.assertIn(status, (200, 503))
            self.assertEqual(0, entry.child.wait())
            self.completes(site, site.submit(STEPS, entry=1), entry=1)

    def test_reload_keeps_the_process_and_its_connections(self):
        with PlatformSite() as site:
            for node in site.entries + site.agents:
                node.child.send_signal(signal.SIGHUP)
            self.completes(site, site.submit(STEPS))
            for node in site.entries + site.agents:
                self.assertIsNone(node.child.poll())


if __name__ == "__main__":
    unittest.main()
