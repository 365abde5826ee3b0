"""Latency through the system as ratios within one run: over the straight call
to the backend server, and at twice saturation over four fifths of it."""

import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
from cluster import Site, wait_for  # noqa: E402

SLOTS = 8


def bench(site, *options):
    return site.cli("bench", f"--target=127.0.0.1:{site.entries[0].ports['callers']}",
                    *options)[1]


def start_site(service_time_ms):
    site = Site()
    site.add_entry("entry-0", "marka")
    site.add_host("host-0", "marka", service_time_ms=service_time_ms)
    wait_for("served", lambda: site.call("GET", "/s/echo/x")[1] == "answered")
    return site


def main():
    with start_site(0) as site:
        straight = f"127.0.0.1:{site.hosts[0].backends[0].ports['port']}"
        for callers in (1, 16, 64):
            report = bench(site, f"--callers={callers}", f"--requests={4000 // callers}",
                           f"--baseline={straight}")
            print(f"{callers} callers: p50 {report['ratio_p50']:.2f}x and p99 "
                  f"{report['ratio_p99']:.2f}x the straight call's;",
                  json.dumps(report["target"]), flush=True)
    with start_site(5) as site:
        busy = bench(site, "--callers=6", "--requests=500", "--timeout-ms=1000")
        flood = bench(site, "--callers=64", "--requests=500", "--timeout-ms=15")
        ratio = flood["target"]["p99_us"] / busy["target"]["p99_us"]
        print(f"p99 of answers with {64 // SLOTS}x the slots' callers and a 15 ms deadline: "
              f"{ratio:.2f}x of that with 6 callers for {SLOTS} slots;",
              json.dumps([busy["target"], flood["target"]]))


if __name__ == "__main__":
    main()
