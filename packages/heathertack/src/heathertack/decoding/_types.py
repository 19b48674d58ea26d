"""Types of fields with their bounds, which msgspec checks while it decodes."""

from __future__ import annotations

from typing import Annotated

import msgspec

#: The largest integer that JSON readers of other systems keep exactly.
MAX_COUNT = 2**53
#: Maximum number of tokens in a request or a cache.
MAX_TOKENS = 2**31
#: Ten years: a longer time is a mistake, and would overflow timers.
MAX_SECONDS = 10 * 366 * 24 * 3600
MAX_NAME_LENGTH = 256
_MS_PER_SECOND = 1000

Integer = Annotated[int, msgspec.Meta(ge=-MAX_COUNT, le=MAX_COUNT)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Seconds = Annotated[float, msgspec.Meta(ge=-MAX_SECONDS, le=MAX_SECONDS)]
Milliseconds = Annotated[
    float,
    msgspec.Meta(ge=-MAX_SECONDS * _MS_PER_SECOND, le=MAX_SECONDS * _MS_PER_SECOND),
]
#: Text that may be empty and fits on one line.
Name = Annotated[
    str, msgspec.Meta(max_length=MAX_NAME_LENGTH, pattern=r"\A[^\x00-\x1f\x7f]*\Z")
]
#: Text that may stand in a header or a path.
Token = Annotated[
    str,
    msgspec.Meta(max_length=MAX_NAME_LENGTH, pattern=r"\A[A-Za-z0-9._:~|@+=/-]+\Z"),
]
