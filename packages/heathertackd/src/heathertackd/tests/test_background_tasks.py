import asyncio

import structlog
from structlog.testing import LogCapture

from heathertackd._background_tasks import start_background_task
from heathertackd._logs import Logger


async def fail() -> None:
    raise AttributeError("no attribute")


async def run_until_cancelled() -> None:
    await asyncio.Event().wait()


def capture_lines() -> tuple[LogCapture, Logger]:
    """Return a logger that other tests do not configure, and what it writes."""
    capture = LogCapture()
    logger: Logger = structlog.wrap_logger(
        structlog.PrintLogger(),
        processors=[capture],
        wrapper_class=structlog.make_filtering_bound_logger(0),
    )
    return capture, logger


class TestBackgroundTasks:
    # Guards against periodic work that ends with an exception that nobody sees.
    async def test_exception_that_ends_a_task_is_logged(self) -> None:
        capture, logger = capture_lines()
        task = start_background_task(fail(), logger)
        await asyncio.wait([task])
        await asyncio.sleep(0.0)
        (line,) = capture.entries
        assert line["event"] == "background_task_failed"
        assert line["log_level"] == "error"
        assert line["task"] == "fail"
        assert line["detail"] == "AttributeError('no attribute')"
        assert "test_background_tasks.py:" in line["where"]

    async def test_cancelled_task_is_not_logged(self) -> None:
        capture, logger = capture_lines()
        task = start_background_task(run_until_cancelled(), logger)
        await asyncio.sleep(0.0)
        task.cancel()
        await asyncio.wait([task])
        await asyncio.sleep(0.0)
        assert capture.entries == []
