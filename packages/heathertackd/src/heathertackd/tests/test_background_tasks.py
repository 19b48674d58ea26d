import asyncio

import structlog
from structlog.testing import capture_logs

from heathertackd._background_tasks import start_background_task


async def fail() -> None:
    raise AttributeError("no attribute")


async def run_until_cancelled() -> None:
    await asyncio.Event().wait()


class TestBackgroundTasks:
    # Guards against periodic work that ends with an exception that nobody sees.
    async def test_exception_that_ends_a_task_is_logged(self) -> None:
        with capture_logs() as lines:
            task = start_background_task(fail(), structlog.get_logger())
            await asyncio.wait([task])
            await asyncio.sleep(0.0)
        (line,) = lines
        assert line["event"] == "background_task_failed"
        assert line["log_level"] == "error"
        assert line["task"] == "fail"
        assert line["detail"] == "AttributeError('no attribute')"
        assert "test_background_tasks.py:" in line["where"]

    async def test_cancelled_task_is_not_logged(self) -> None:
        with capture_logs() as lines:
            task = start_background_task(run_until_cancelled(), structlog.get_logger())
            await asyncio.sleep(0.0)
            task.cancel()
            await asyncio.wait([task])
            await asyncio.sleep(0.0)
        assert lines == []
