"""Profiles of hypothesis: the same verdict on every run, or a longer search."""

import os

from hypothesis import HealthCheck, Phase, settings

settings.register_profile(
    "ci",
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
settings.register_profile(
    "prove",
    parent=settings.get_profile("ci"),
    derandomize=False,
    max_examples=int(os.environ.get("PROVE_COUNT", "500")),
    print_blob=True,
)
settings.register_profile(
    "red",
    parent=settings.get_profile("ci"),
    max_examples=60,
    phases=[Phase.generate],
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
