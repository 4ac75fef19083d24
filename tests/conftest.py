"""Settings that hold for every test: hypothesis gives the same verdict."""

from hypothesis import settings

settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    database=None,
)
settings.load_profile('ci')
