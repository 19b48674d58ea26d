"""Runs one fake as a process.

Usage:
  serve engine PORT [--cache=TOKENS] [--step=SECONDS] [--store=URL] [--unfenced]
  serve store PORT
  serve plain PORT
  serve platform PORT FILE
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from pathlib import Path

import msgspec
from aiohttp import web
from docopt import docopt

from heathertack_fakes._engine_model import EngineSize, EngineSpeed
from heathertack_fakes._engine_server import EngineServer
from heathertack_fakes._plain_server import PlainServer
from heathertack_fakes._platform_server import PlatformServer
from heathertack_fakes._store_server import StoreServer

_HOST = "127.0.0.1"
_LOAD_SECONDS = 0.5


def main(arguments: Sequence[str] | None = None) -> int:
    """Serve until the process is terminated."""
    options = docopt(__doc__ or "", argv=arguments)
    if options["engine"]:
        size = EngineSize()
        speed = EngineSpeed()
        if options["--cache"]:
            size = size._replace(cache_tokens=int(options["--cache"]))
        if options["--step"]:
            speed = speed._replace(step=float(options["--step"]))
        store_url = options["--store"] or ""
        checks_fencing = not options["--unfenced"]
        server = EngineServer(size, speed, store_url, checks_fencing)
        app = server.build_app()
    elif options["store"]:
        app = StoreServer(_LOAD_SECONDS).build_app()
    elif options["plain"]:
        app = PlainServer().build_app()
    else:
        instances = msgspec.json.decode(Path(options["FILE"]).read_bytes())
        app = PlatformServer(instances).build_app()
    web.run_app(app, host=_HOST, port=int(options["PORT"]), print=None, access_log=None)
    return 0


if __name__ == "__main__":
    sys.exit(main())
