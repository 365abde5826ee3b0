"""Shows a job of two steps on stand-ins for the users' platform."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
from platform_site import PlatformSite, wait_for  # noqa: E402


def main():
    with PlatformSite(entries=2, hosts=3) as site:
        print(f"started 1 store, {len(site.entries)} entries, {len(site.agents)} agents, "
              f"{len(site.workers)} workers; {site.owner().name} owns the scheduling")
        job = site.submit([
            {"count": 4, "cpu": 500, "mem_mb": 100, "estimate_ms": 500},
            {"count": 2, "cpu": 1000, "mem_mb": 100, "estimate_ms": 500, "after": [0]}],
            seconds=0.5)
        print(f"job {job} was accepted; state: {site.state(job)}")
        wait_for("the job completes", lambda: site.state(job, entry=1) == "completed")
        print(f"the other entry says: {site.state(job, entry=1)}")
        first = min(run.begun for run in site.runs(job))
        for run in sorted(site.runs(job), key=lambda run: run.begun):
            print(f"  {run.task} run {run.number}: {run.begun - first:.2f} s "
                  f"to {run.ended - first:.2f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
