"""Promises on callers' requests, under kills, freezes and planned stops."""

import signal
import socket
import sys
import threading
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tools"))
from cluster import Site, wait_for  # noqa: E402
from load import Callers, judge  # noqa: E402


def start_site(hosts=3, entries=2, **host_options):
    site = Site()
    for number in range(entries):
        site.add_entry(f"entry-{number}", "marka")
    for number in range(hosts):
        site.add_host(f"host-{number}", "marka", **host_options)
    for number in range(entries):
        wait_for("every entry knows every backend server", lambda: len(
            [b for h in site.cli("status", entry=number)[1]["hosts"]
             for b in h["backends"]]) == hosts)
    return site


def backends_of(site):
    return [backend for host in site.hosts for backend in host.backends]


class Requests(unittest.TestCase):

    def test_a_request_comes_back_whole_and_refusals_are_typed(self):
        with start_site() as site:
            status, outcome, body = site.call("POST", "/s/echo/a?b=1", "payload")
            self.assertEqual((200, "answered"), (status, outcome))
            self.assertEqual("/a\npayload", body)
            self.assertEqual((404, "not-run"), site.call("GET", "/s/nobody/x")[:2])
            for headers in ({"Zinniacart-Timeout-Ms": "0"}, {"Zinniacart-Timeout-Ms": "soon"},
                            {"Idempotency-Key": "with space"}, {"Idempotency-Key": "k" * 300}):
                self.assertEqual((400, "not-run"),
                                 site.call("POST", "/s/echo/x", "b", headers)[:2], headers)
            too_large = "x" * (9 << 20)
            self.assertEqual((413, "not-run"),
                             site.call("POST", "/s/echo/x", too_large)[:2])

    def test_a_repeated_booking_runs_once_through_any_entry(self):
        with start_site() as site:
            headers = {"Idempotency-Key": "pickup-1"}
            first = site.call("POST", "/s/echo/pickups", "bank 7", headers, entry=0)
            again = site.call("POST", "/s/echo/pickups", "bank 7", headers, entry=1)
            self.assertEqual(first, again)
            other = site.call("POST", "/s/echo/pickups", "bank 8", headers, entry=1)
            self.assertEqual((409, "not-run"), other[:2])
            runs = sum(site.ledger(b).get("pickup-1", 0) for b in backends_of(site))
            self.assertEqual(1, runs)

    def test_concurrent_repetitions_of_one_booking_run_once(self):
        with start_site() as site:
            answers = []
            def ask(entry):
                answers.append(site.call(
                    "POST", "/s/echo/pickups", "bank 7",
                    {"Idempotency-Key": "pickup-1", "X-Work-Ms": "300"}, entry=entry))
            threads = [threading.Thread(target=ask, args=(n % 2,)) for n in range(8)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            self.assertEqual({(200, "answered", "/pickups\nbank 7")}, set(answers))
            runs = sum(site.ledger(b).get("pickup-1", 0) for b in backends_of(site))
            self.assertEqual(1, runs)

    def test_killing_an_agent_under_load_doubles_and_misreports_nothing(self):
        with start_site() as site:
            callers = Callers(site, headers={"X-Work-Ms": "5"})
            wait_for("load", lambda: callers.count("answered") > 100)
            site.hosts[0].agent.kill()
            after = callers.count("answered")
            wait_for("service goes on", lambda: callers.count("answered") > after + 100)
            site.start_agent(site.hosts[0])
            wait_for("service goes on", lambda: callers.count("answered") > after + 300)
            callers.stop()
            judge(self, callers, backends_of(site), site)

    def test_killing_an_entry_under_load_doubles_and_misreports_nothing(self):
        with start_site(entries=3) as site:
            callers = Callers(site, headers={"X-Work-Ms": "5"})
            wait_for("load", lambda: callers.count("answered") > 100)
            site.entries[0].kill()
            wait_for("lost callers", lambda: callers.count("connection-lost") > 0)
            callers.stop()
            lost = [key for key, value in callers.outcomes.items()
                    if value == "connection-lost"]
            for key in lost:
                callers.outcomes[key] = callers.ask(key, 1)
            judge(self, callers, backends_of(site), site)
            self.assertTrue(all(callers.outcomes[key] in ("answered", "unknown")
                                for key in lost))

    def test_a_frozen_agent_is_routed_around_and_tells_the_truth_afterwards(self):
        with start_site() as site:
            callers = Callers(site, headers={"X-Work-Ms": "5", "Zinniacart-Timeout-Ms": "3000"})
            wait_for("load", lambda: callers.count("answered") > 100)
            site.hosts[0].agent.signal(signal.SIGSTOP)
            before = callers.count("answered")
            wait_for("service goes on", lambda: callers.count("answered") > before + 100)
            site.hosts[0].agent.signal(signal.SIGCONT)
            wait_for("service goes on", lambda: callers.count("answered") > before + 300)
            callers.stop()
            judge(self, callers, backends_of(site), site)

    def test_a_connection_that_goes_silent_is_replaced_and_loses_nothing(self):
        with start_site(hosts=2, relay=True) as site:
            callers = Callers(site, headers={"X-Work-Ms": "20"})
            wait_for("load", lambda: callers.count("answered") > 50)
            for host in site.hosts:
                host.relay.silence()
            before = callers.count("answered")
            wait_for("service goes on", lambda: callers.count("answered") > before + 100)
            callers.stop()
            judge(self, callers, backends_of(site), site)
            self.assertEqual(0, callers.count("unknown"),
                             "the outcome could be learned on a new connection")

    def test_a_drained_backend_server_gets_nothing_new_and_cuts_nothing_off(self):
        with start_site() as site:
            callers = Callers(site, keyed=True, headers={"X-Work-Ms": "20"})
            wait_for("load", lambda: callers.count("answered") > 50)
            site.cli("drain", "backend", "host-0-b0", "--wait")
            drained = site.hosts[0].backends[0]
            wait_for("it is idle", lambda: all(
                b["running"] == 0 for h in site.cli("status")[1]["hosts"]
                for b in h["backends"] if b["backend"] == "host-0-b0"))
            before = site.ledger(drained)
            served = callers.count("answered")
            wait_for("others serve", lambda: callers.count("answered") > served + 100)
            self.assertEqual(before, site.ledger(drained))
            site.cli("restore", "backend", "host-0-b0", "--wait")
            wait_for("it serves again", lambda: len(site.ledger(drained)) > len(before))
            callers.stop()
            judge(self, callers, backends_of(site), site)
            self.assertEqual({"answered"}, set(callers.outcomes.values()))

    def test_a_planned_stop_of_each_daemon_cuts_no_request_off(self):
        with start_site(entries=2) as site:
            callers = Callers(site, entries=[1], headers={"X-Work-Ms": "50"})
            wait_for("load", lambda: callers.count("answered") > 50)
            self.assertEqual(0, site.entries[0].stop())
            self.assertEqual(0, site.hosts[0].agent.stop())
            before = callers.count("answered")
            wait_for("service goes on", lambda: callers.count("answered") > before + 50)
            callers.stop()
            judge(self, callers, backends_of(site), site)
            self.assertEqual({"answered"}, set(callers.outcomes.values()))

    def test_a_stopping_entry_finishes_what_is_in_flight(self):
        with start_site(entries=2) as site:
            answers = []
            thread = threading.Thread(target=lambda: answers.append(site.call(
                "POST", "/s/echo/x", "slow", {"X-Work-Ms": "2500"}, entry=0)))
            thread.start()
            wait_for("it runs", lambda: any(
                b["running"] for h in site.cli("status", entry=1)[1]["hosts"]
                for b in h["backends"]))
            self.assertEqual(0, site.entries[0].stop())
            thread.join()
            self.assertEqual([(200, "answered", "/x\nslow")], answers)

    def test_a_key_that_cannot_be_checked_is_unknown_and_never_called_not_run(self):
        with start_site() as site:
            headers = {"Idempotency-Key": "pickup-1"}
            self.assertEqual("answered", site.call("POST", "/s/echo/p", "b", headers)[1])
            site.store_faults("outage_ms=60000")
            status, outcome, _ = site.call("POST", "/s/echo/p", "b", headers, entry=1)
            self.assertEqual((503, "unknown"), (status, outcome))
            self.assertEqual("answered", site.call("GET", "/s/echo/p")[1])
            site.store_faults("outage_ms=0")
            self.assertEqual("answered", site.call("POST", "/s/echo/p", "b", headers)[1])

    def test_lost_store_answers_neither_double_nor_lose_a_booking(self):
        with start_site() as site:
            callers = Callers(site, count=4)
            wait_for("load", lambda: callers.count("answered") > 20)
            for _ in range(20):
                site.store_faults("lose_answers=5")
                before = callers.count("answered")
                wait_for("service goes on", lambda: callers.count("answered") > before + 5)
            callers.stop()
            judge(self, callers, backends_of(site), site)
            self.assertEqual({"answered"}, set(callers.outcomes.values()))

    def test_idle_callers_starve_neither_busy_callers_nor_operators(self):
        with Site() as site:
            threads = 16
            site.add_entry("entry-0", "marka", threads=threads)
            site.add_host("host-0", "marka")
            wait_for("served", lambda: site.call("GET", "/s/echo/x")[1] == "answered")
            idle = [socket.create_connection(
                ("127.0.0.1", site.entries[0].ports["callers"])) for _ in range(3 * threads)]
            self.assertEqual(0, site.cli("status")[0])
            self.assertEqual("ok", site.http(site.entries[0].ports["operators"],
                                             "GET", "/healthz"))
            self.assertEqual("answered", site.call("GET", "/s/echo/x")[1])
            for connection in idle:
                connection.close()


if __name__ == "__main__":
    unittest.main(verbosity=2)
