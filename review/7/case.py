"""Three jobs that repeat every minute for a year take more memory than an entry may
use; each entry that owns the scheduling exceeds it, and no job runs any more."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "harness-2"))
from deployment import BOUNDS, BROKEN, HELD, TROUBLE, Deployment, main  # noqa: E402

MEMORY_MB = 260  # Of a front machine.
RESTART_SECONDS = 0.5
REPEATED_JOBS = 3
OCCURRENCES = 365 * 24 * 60
INTERVAL_MS = 60000
JOB = [{"count": 1, "cpu": 100, "s": 0.2}]
IDLE_SECONDS = 3
SAMPLE_SECONDS = 0.05


def memory_mb(daemon):
    try:
        for line in Path(f"/proc/{daemon.child.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0


class Platform(threading.Thread):
    """Kills an entry whose memory exceeds its limit, and starts it again, as the
    platform does. Only the entries of this case."""

    def __init__(self, site):
        super().__init__(daemon=True)
        self.site, self.kills, self.most, self.stopped = site, 0, 0, False

    def run(self):
        down = {}
        while not self.stopped:
            time.sleep(0.02)
            for entry in self.site.entries:
                if entry in down:
                    if time.monotonic() >= down[entry]:
                        del down[entry]
                        entry.start()
                    continue
                used = memory_mb(entry)
                self.most = max(self.most, used)
                if used > MEMORY_MB:
                    self.site.record(f"{entry.name} uses {used:.0f} MB of {MEMORY_MB}")
                    entry.kill()
                    self.kills += 1
                    down[entry] = time.monotonic() + RESTART_SECONDS


def longest_idle_span(site, jobs):
    """@returns for how long on end none of the jobs ran, though there was room for
    their tasks twice over and under half of the service's capacity was in use."""
    longest, since = 0, None
    until = time.monotonic() + 4 * IDLE_SECONDS
    while time.monotonic() < until:
        now = time.monotonic()
        left = any(not site.runs_of(job) for job in jobs)
        idle = (left and not any(site.running_of(job) for job in jobs)
                and site.room(JOB[0]["cpu"]) >= 2 * len(jobs) and site.share_in_use() < 0.5)
        since = (since or now) if idle else None
        longest = max(longest, now - since if since else 0)
        time.sleep(SAMPLE_SECONDS)
    return longest


def play():
    with Deployment(workers=3, cores=4) as site:
        platform = Platform(site)
        platform.start()
        if TROUBLE:
            start = int(time.time() * 1000) + 500
            for _ in range(REPEATED_JOBS):
                site.submit(JOB, repeat_count=OCCURRENCES, start_at_ms=start,
                            interval_ms=INTERVAL_MS)
        time.sleep(2)
        jobs = []
        for _ in range(10):
            jobs.append(site.submit(JOB))
            time.sleep(0.5)
        site.record("end of the traffic")
        time.sleep(BOUNDS["finish_s"])
        states = [site.state(job, log=True) for job in jobs]
        span = longest_idle_span(site, jobs)
        platform.stopped = True
        platform.join()
        result = (f"{BOUNDS['finish_s']} s after the end of the traffic "
                  f"{states.count('completed')} of {len(jobs)} jobs are completed; entries were "
                  f"killed {platform.kills} times, most memory {platform.most:.0f} MB; longest "
                  f"span in which no job ran beside free capacity: {span:.1f} s")
        site.record(result)
        print(result)
        return BROKEN if span >= IDLE_SECONDS else HELD


main(play)
