"""Not a case: it takes 260 s, and a case may take 120 s.

Jobs complete. Four minutes later the store forgets its history while one change
is made. Prints which tasks were started again after they had ended `done`.
"""

import asyncio
import sys
import tempfile
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from site_lite import main  # noqa: E402

PAUSE_S, AFTERWARDS_S = 248.0, 8.0


async def scenario(site, trouble):
    step = {"count": 3, "cpu": 500, "mem_mb": 100, "estimate_ms": 300, "work_s": 0.3}
    jobs = [await site.submit([step]) for _ in range(5)]
    await asyncio.sleep(PAUSE_S)
    site.record(f"{len(site.cluster.runs)} runs, {[await site.state(job) for job in jobs]}")
    if trouble:
        with site.store.changed:  # The history is gone before a watch hears of it.
            site.configure(2)
            site.store.drop_history()
        site.record("a change was made and the history is forgotten")
    await asyncio.sleep(AFTERWARDS_S)
    site.record(f"{len(site.cluster.runs)} runs, {[await site.state(job) for job in jobs]}")
    return site.started_after_done()


sys.exit(main(Path(tempfile.mkdtemp()), scenario, workers=3))
