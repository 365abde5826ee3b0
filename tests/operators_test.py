"""Promises on configuration and placement, through the real processes."""

import json
import signal
import subprocess
import sys
import threading
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tools"))
from cluster import BUILD, Site, wait_for  # noqa: E402
from load import Callers, judge  # noqa: E402

DOMAINS = ["marka", "sahab", "zarqa"]
TEAM = {"kind": "team", "name": "bankline",
        "quota": {"millicores": 100000, "memory_mb": 200000}}


def start_site(entries=3, hosts=3, backends=1, **options):
    site = Site(shards=4)
    for number in range(entries):
        site.add_entry(f"entry-{number}", DOMAINS[number % 3])
    for number in range(hosts):
        site.add_host(f"host-{number}", DOMAINS[number % 3], backends=backends, **options)
    for number in range(entries):
        wait_for("every entry knows every host and backend server", lambda: [
            len(h["backends"]) for h in site.cli("status", entry=number)[1]["hosts"]
        ] == [backends] * hosts)
    wait_for("every shard is owned", lambda: sum(
        site.cli("status", entry=n)[1].get("owned_shards", 0)
        for n in range(entries)) == site.shards)
    return site


def submit(site, name, tasks=1, run_time_ms=0, entry=0, **fields):
    body = {"kind": "job", "name": name, "team": "bankline", "tasks": tasks,
            "run_time_ms": run_time_ms, "demand": {"millicores": 1000, "memory_mb": 500},
            **fields}
    wait_for("the job is accepted",
             lambda: site.apply(body, entry=entry, check=False)[0] == 0)


def running_on(site):
    """Which hosts truly run each task, by the workers' own lists."""
    places = {}
    for host in site.hosts:
        for task in site.worker_tasks(host):
            if task["state"] == 0:
                places.setdefault(task["task"], []).append(host.name)
    return places


class PlacesWatch:
    """Notices if a task ever runs in two places."""

    def __init__(self, site):
        self.site = site
        self.doubled = set()
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def _run(self):
        while not self.stopping.is_set():
            first = running_on(self.site)
            second = running_on(self.site)
            for task, places in first.items():
                # Seen twice in both looks: a move in between cannot explain it.
                if len(places) > 1 and sorted(second.get(task, [])) == sorted(places):
                    self.doubled.add(task)
            time.sleep(0.02)

    def stop(self):
        self.stopping.set()
        self.thread.join()
        return self.doubled


class Operators(unittest.TestCase):

    def test_bad_declarations_name_the_field_and_change_nothing(self):
        with start_site(entries=1, hosts=1) as site:
            for body, word in (({"kind": "planet", "name": "x"}, "(kind)"),
                               ({"kind": "team", "name": "x", "quota": {"cpu": 1}}, "(quota.cpu)"),
                               ({"kind": "job", "name": "x", "team": "t", "tasks": 0}, "(tasks)"),
                               ({"kind": "domain", "name": "UPPER"}, "(name)")):
                code, text = site.apply(body, check=False)
                self.assertEqual(1, code)
                self.assertIn(word, text)
            self.assertEqual([], site.cli("audit")[1]["changes"])

    def test_bad_settings_stop_the_start_with_one_line(self):
        daemon = str(BUILD / "packages/daemon/zinniacartd")
        for options, word in (
                (["--role=entry", "--name=e", "--domain=d", "--store=store.example:1"], "--store"),
                (["--role=entry", "--name=E!", "--domain=d", "--store=127.0.0.1:1"], "--name"),
                (["--role=agent", "--name=h", "--domain=d", "--worker=127.0.0.1:1"], "--entry"),
                (["--role=agent", "--name=h", "--domain=d", "--worker=127.0.0.1:99999",
                  "--entry=127.0.0.1:1"], "--worker"),
                (["--role=clerk", "--name=h", "--domain=d"], "--role")):
            result = subprocess.run([daemon, *options], capture_output=True, text=True,
                                    check=False)
            self.assertEqual(64, result.returncode, options)
            self.assertIn(word, result.stderr)

    def test_of_two_racing_operators_one_wins_and_the_other_is_told(self):
        with start_site(entries=2, hosts=1) as site:
            site.apply(TEAM)
            serial = site.cli("get", "team/bankline")[1]["serial"]
            codes = []
            def race(entry):
                body = dict(TEAM, quota={"millicores": 1000 + entry})
                codes.append(site.apply(body, entry=entry, check=False,
                                        options=["--if-serial", str(serial)])[0])
            threads = [threading.Thread(target=race, args=(n,)) for n in range(2)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            self.assertEqual([0, 3], sorted(codes))
            self.assertEqual(2, len(site.cli("audit")[1]["changes"]))

    def test_a_lost_answer_applies_once_and_an_outage_refuses(self):
        with start_site(entries=1, hosts=1) as site:
            site.store_faults("lose_answers=1")
            site.apply(TEAM, options=["--wait"])
            self.assertEqual(1, len(site.cli("audit")[1]["changes"]))
            site.store_faults("outage_ms=60000")
            code, text = site.apply(dict(TEAM, quota={"millicores": 1}), check=False)
            self.assertEqual(4, code)
            self.assertIn("store-unavailable", text)
            site.store_faults("outage_ms=0")
            wait_for("the store is back", lambda: site.cli("audit", check=False)[0] == 0)
            self.assertEqual(1, len(site.cli("audit")[1]["changes"]))

    def test_a_job_runs_to_its_end_through_a_killed_entry(self):
        with start_site(entries=3, hosts=3, backends=0) as site:
            site.apply(TEAM)
            submit(site, "tally", tasks=6, run_time_ms=8000)
            watch = PlacesWatch(site)
            wait_for("tasks run", lambda: len(running_on(site)) == 6)
            owner = max(range(3), key=lambda n: site.cli("status", entry=n)[1]["owned_shards"])
            site.entries[owner].kill()
            other = (owner + 1) % 3
            job = wait_for("the job ends", lambda: (
                lambda j: j and j["status"] == "finished" and j)(
                    site.job("bankline", "tally", entry=other)), patience=120)
            self.assertEqual(set(), watch.stop())
            # An entry's death moves no task: each ran under one generation.
            self.assertEqual({1}, {task["generation"] for task in job["tasks"]})

    def test_a_dead_host_has_its_tasks_placed_anew_after_their_lease(self):
        with start_site(entries=1, hosts=3, backends=0) as site:
            site.apply(TEAM)
            submit(site, "tally", tasks=3, run_time_ms=600000)
            wait_for("tasks run", lambda: len(running_on(site)) == 3)
            victim = next(h for h in site.hosts if site.worker_tasks(h))
            lost = {task["task"] for task in site.worker_tasks(victim)}
            victim.agent.signal(signal.SIGSTOP)
            watch = PlacesWatch(site)
            wait_for("its tasks run elsewhere", lambda: all(
                any(name != victim.name for name in running_on(site).get(task, []))
                for task in lost), patience=120)
            self.assertEqual(set(), watch.stop())

    def test_an_agent_restart_keeps_its_tasks_running(self):
        with start_site(entries=1, hosts=1, backends=0) as site:
            site.apply(TEAM)
            submit(site, "tally", tasks=2, run_time_ms=600000)
            wait_for("tasks run", lambda: len(running_on(site)) == 2)
            site.hosts[0].agent.kill()
            site.start_agent(site.hosts[0])
            def renewed():
                tasks = site.worker_tasks(site.hosts[0])
                first = [t["lease_until_ms"] for t in tasks]
                time.sleep(3)
                second = [t["lease_until_ms"] for t in site.worker_tasks(site.hosts[0])]
                return len(first) == 2 and all(b > a for a, b in zip(first, second))
            wait_for("leases are renewed", renewed)
            self.assertEqual({1}, {t["generation"] for t in site.worker_tasks(site.hosts[0])})

    def test_a_drained_domain_empties_and_batch_resumes_elsewhere_once(self):
        with start_site(entries=3, hosts=6) as site:
            site.apply(TEAM)
            site.apply({"kind": "service", "name": "echo", "team": "bankline",
                        "replicas": 3, "demand": {"millicores": 500, "memory_mb": 100}})
            submit(site, "tally", tasks=12, run_time_ms=600000)
            callers = Callers(site, count=4, keyed=False)
            watch = PlacesWatch(site)
            wait_for("tasks run", lambda: len(running_on(site)) == 15)
            drained = [h for h in site.hosts if h.domain == "marka"]
            moved = {t["task"] for h in drained for t in site.worker_tasks(h)}
            self.assertTrue(moved)
            site.cli("drain", "domain", "marka", "--wait")
            wait_for("the domain is empty and all run elsewhere", lambda: (
                lambda places: len(places) == 15 and not any(
                    host.name in names for names in places.values() for host in drained))(
                        running_on(site)))
            for host in drained:
                self.assertEqual([], [t for t in site.worker_tasks(host) if t["state"] == 0])
            for host in site.hosts:
                for task in site.worker_tasks(host):
                    if task["task"] in moved and task["state"] == 0:
                        self.assertEqual(2, task["generation"])
            site.cli("restore", "domain", "marka", "--wait")
            submit(site, "second", tasks=24, run_time_ms=600000)
            wait_for("the domain is filled again", lambda: any(
                host.name in names for names in running_on(site).values() for host in drained))
            callers.stop()
            self.assertEqual(set(), watch.stop())
            self.assertEqual([], callers.wrong)
            self.assertEqual([], callers.refusals[:3])
            self.assertEqual({"answered"}, set(callers.outcomes.values()))

    def test_urgent_work_takes_the_place_of_batch_and_batch_resumes(self):
        with start_site(entries=1, hosts=1, backends=0) as site:
            site.apply(TEAM)
            submit(site, "tally", tasks=16, run_time_ms=600000)
            wait_for("the host is full", lambda: len(running_on(site)) == 16)
            submit(site, "overflow", tasks=1, run_time_ms=1000, urgent=True)
            wait_for("the urgent job ends", lambda: (
                lambda j: j and j["status"] == "finished")(site.job("bankline", "overflow")))
            wait_for("batch runs again", lambda: len(running_on(site)) == 16)

    def test_explain_names_why_a_job_can_never_run(self):
        with start_site(entries=1, hosts=1, backends=0) as site:
            site.apply(TEAM)
            submit(site, "giant", demand={"millicores": 64000})
            wait_for("the reason", lambda: "no host is large enough" in
                     json.dumps(site.cli("explain", "bankline/giant")[1]))
            site.cli("cancel", "bankline/giant")
            wait_for("it is cancelled", lambda:
                     site.job("bankline", "giant")["status"] == "cancelled")

    def test_a_worker_that_fails_everything_is_left_alone(self):
        with Site(shards=2) as site:
            site.add_entry("entry-0", "marka")
            site.add_host("bad", "marka", backends=0, worker_options=["--fail-everything"])
            site.add_host("good", "marka", backends=0)
            site.apply(TEAM)
            for number in range(4):
                submit(site, f"job-{number}", tasks=4, run_time_ms=500)
            for number in range(4):
                wait_for("the job ends", lambda: (
                    lambda j: j and j["status"] == "finished")(
                        site.job("bankline", f"job-{number}")), patience=120)


if __name__ == "__main__":
    unittest.main(verbosity=2)
