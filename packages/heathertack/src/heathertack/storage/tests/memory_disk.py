"""In-memory disk that loses unsynced data on a simulated crash."""


class MemoryDisk:
    def __init__(self) -> None:
        self._synced: dict[str, bytes] = {}
        self._files: dict[str, bytes] = {}
        self._steps_left: int | None = None

    def list_files(self) -> tuple[str, ...]:
        return tuple(sorted(self._files))

    def read(self, name: str) -> bytes | None:
        return self._files.get(name)

    def append(self, name: str, data: bytes) -> None:
        self._files[name] = self._files.get(name, b"") + data

    def sync(self, name: str) -> None:
        self._count_step()
        self._synced[name] = self._files[name]

    def replace(self, name: str, data: bytes) -> None:
        self._count_step()
        self._files[name] = self._synced[name] = data

    def delete(self, name: str) -> None:
        self._count_step()
        self._files.pop(name, None)
        self._synced.pop(name, None)

    def close(self) -> None:
        pass

    def crash(self) -> None:
        self._steps_left = None
        self._files = dict(self._synced)

    def wipe(self) -> None:
        self._files = {}
        self._synced = {}

    def fail_after(self, steps: int) -> None:
        self._steps_left = steps

    def recover(self) -> None:
        self._steps_left = None

    def last_segment(self) -> str:
        return next(n for n in reversed(self.list_files()) if n.startswith("log-"))

    def truncate(self, name: str, length: int) -> None:
        self._files[name] = self._synced[name] = self._files[name][:length]

    def flip_bit(self, name: str, offset: int) -> None:
        data = bytearray(self._files[name])
        data[offset] ^= 1
        self._files[name] = self._synced[name] = bytes(data)

    def _count_step(self) -> None:
        if self._steps_left is not None:
            self._steps_left -= 1
            if self._steps_left < 0:
                raise OSError("simulated disk failure")
