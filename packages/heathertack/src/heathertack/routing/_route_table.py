"""Matches requests to routes by host and longest path prefix."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from itertools import accumulate
from typing import NamedTuple

import xxhash

from heathertack.bundle import ForwardingRoute


class RouteMatch(NamedTuple):
    """Route that matches a request, with its name."""

    name: str
    route: ForwardingRoute


class RouteTable:
    """Finds routes in time that depends on the path, not on the number of routes.

    Parameters
    ----------
    routes : mapping of str to ForwardingRoute
        Routes by name.
    """

    def __init__(self, routes: Mapping[str, ForwardingRoute]) -> None:
        self._matches = {
            (route["host"], route["path_prefix"]): RouteMatch(name, route)
            for name, route in routes.items()
        }

    def __len__(self) -> int:
        return len(self._matches)

    def find(self, host: str, path: str) -> RouteMatch | None:
        """Return the route with the longest prefix of a path.

        Parameters
        ----------
        host : str
            Value of the ``Host`` header; its port and case are ignored.
        path : str
            Path of the request, with or without a query.
        """
        host_name = host.partition(":")[0].lower()
        for prefix in _list_prefixes(path.partition("?")[0]):
            match = self._matches.get((host_name, prefix))
            if match is not None:
                return match
        return None


def choose_service(route: ForwardingRoute, key: str) -> str:
    """Choose a service of a route by weight, the same one for the same key.

    Parameters
    ----------
    route : ForwardingRoute
        The route.
    key : str
        Value to hash, for example the id of the request.
    """
    names = tuple(route["services"])
    cumulative_weights = tuple(accumulate(route["services"].values()))
    point = xxhash.xxh3_64_intdigest(key.encode()) % cumulative_weights[-1]
    return next(
        name
        for name, bound in zip(names, cumulative_weights, strict=True)
        if point < bound
    )


def _list_prefixes(path: str) -> Iterator[str]:
    """Yield the prefixes of a path that end with a slash, the longest first."""
    end = path.rfind("/") + 1
    while end > 0:
        yield path[:end]
        end = path.rfind("/", 0, end - 1) + 1
