import os
import threading

from heathertackd._log_writer import LogWriter

TIMEOUT_SECONDS = 5.0


def read_all(descriptor: int) -> bytes:
    data = b""
    while chunk := os.read(descriptor, 65536):
        data += chunk
    return data


class TestLogWriter:
    def test_writes_lines_in_order(self) -> None:
        reader, writer = os.pipe()
        log = LogWriter(writer)
        for number in range(100):
            log.write(f"event=e{number}\n")
        log.close(TIMEOUT_SECONDS)
        os.close(writer)
        lines = read_all(reader).decode().splitlines()
        assert lines == [f"event=e{number}" for number in range(100)]
        os.close(reader)

    def test_never_blocks_on_a_reader_and_reports_dropped_lines(self) -> None:
        reader, writer = os.pipe()
        log = LogWriter(writer, max_queued_lines=50)
        line = "x" * 1000 + "\n"
        for _ in range(5000):
            log.write(line)
        assert log.dropped > 0
        received: list[bytes] = []
        thread = threading.Thread(target=lambda: received.append(read_all(reader)))
        thread.start()
        log.close(TIMEOUT_SECONDS)
        os.close(writer)
        thread.join(TIMEOUT_SECONDS)
        assert b"event=log_lines_dropped" in received[0]
        os.close(reader)

    def test_continues_without_a_reader(self) -> None:
        reader, writer = os.pipe()
        os.close(reader)
        log = LogWriter(writer)
        log.write("event=e\n")
        log.close(TIMEOUT_SECONDS)
        os.close(writer)
