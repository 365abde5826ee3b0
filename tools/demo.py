"""Serves a small site end to end with stand-ins and shows what happens."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
from cluster import Site, wait_for  # noqa: E402


def main():
    with Site() as site:
        for number, domain in enumerate(["marka", "sahab", "zarqa"]):
            site.add_entry(f"entry-{number}", domain)
        for number, domain in enumerate(["marka", "sahab", "zarqa"]):
            site.add_host(f"host-{number}", domain)
        print("started 1 store, 3 entries, 3 hosts with worker, agent and backend server")
        site.apply({"kind": "team", "name": "bankline",
                    "quota": {"millicores": 64000, "memory_mb": 200000}})
        site.apply({"kind": "service", "name": "echo", "team": "bankline",
                    "replicas": 3, "demand": {"millicores": 1000, "memory_mb": 500}})
        print("an operator declared team bankline and service echo")
        wait_for("callers are served", lambda: site.call("GET", "/s/echo/x")[0] == 200)
        print("a caller asked:", site.call("GET", "/s/echo/fill-report?bank=7"))
        booking = {"Idempotency-Key": "pickup-1"}
        print("a pickup was booked:",
              site.call("POST", "/s/echo/pickups", "bank 7", booking, entry=0))
        print("and repeated through another entry:",
              site.call("POST", "/s/echo/pickups", "bank 7", booking, entry=1))
        wait_for("the job is accepted", lambda: site.apply(
            {"kind": "job", "name": "tally", "team": "bankline", "tasks": 4,
             "run_time_ms": 1500, "demand": {"millicores": 2000, "memory_mb": 1000}},
            check=False)[0] == 0)
        print("an operator submitted job tally; watching it:")
        code, text = site.cli("watch", "job/bankline/tally")
        print(text)
        print("watch ended with", code)
        return code


if __name__ == "__main__":
    sys.exit(main())
