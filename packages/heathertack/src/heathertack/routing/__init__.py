"""Which route of a bundle a forwarded request takes."""

from heathertack.routing._route_table import RouteMatch, RouteTable, choose_service

__all__ = ["RouteMatch", "RouteTable", "choose_service"]
