"""Tests the rules, rendering and validation of configuration files."""

from bilberry_core.configuration import (
    Configuration,
    RouteException,
    RoutingRule,
    Service,
    Target,
    encode_configuration,
)
from bilberry_core.configuration_file import (
    parse_configuration,
    render_configuration,
    validate_content,
)
from bilberry_core.policy import CallPolicy, LoadPolicy, PolicyChange, Priority
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

GOOD = """
defaults: {timeout: 4s, retry_budget: 10%, claim_retention: 48h}
services:
  stock: {}
  callouts: {hosts: [callouts.example]}
exceptions:
  night:
    service: callouts
    path_prefix: /open
    methods: [GET]
    set: {timeout: 900ms, priority: urgent}
    reason: a dispatcher at night cannot wait
"""

names = st.from_regex('[a-z]{1,6}', fullmatch=True)
changes = st.builds(
    PolicyChange,
    timeout_ms=st.integers(1, 3_600_000),
    retries=st.none() | st.integers(0, 10),
    retry_budget_percent=st.none() | st.integers(0, 100),
    priority=st.none() | st.sampled_from(Priority),
    idempotent_methods=st.none() | st.just(('GET', 'PUT')),
    load_policy=st.none() | st.sampled_from(LoadPolicy),
    claim_retention_s=st.none() | st.integers(1, 2_592_000),
    idempotent=st.none() | st.booleans(),
    target_latency_ms=st.none() | st.integers(1, 3_600_000),
)


@st.composite
def configurations(draw):
    """Draws a configuration that satisfies every rule."""
    services = sorted(draw(st.sets(names, min_size=1, max_size=4)))
    rules = [
        RouteException(
            name,
            draw(st.sampled_from(services)),
            draw(st.text(min_size=1).map(keep_printable).filter(bool)),
            draw(changes),
            draw(st.sampled_from(['', '/', '/open'])),
            draw(st.sampled_from([(), ('GET',)])),
        )
        for name in sorted(draw(st.sets(names, max_size=4)))
    ]
    return Configuration(
        draw(changes).apply(CallPolicy()),
        tuple(Service(name, (f'{name}.example',)) for name in services),
        tuple(rules),
        tuple(draw(routes(services))),
    )


@st.composite
def routes(draw, services):
    """Draws routes to some of these services, with different path prefixes."""
    drawn = []
    for name in sorted(draw(st.sets(names, max_size=3))):
        weights = draw(
            st.dictionaries(
                st.sampled_from(services),
                st.integers(1, 100),
                min_size=1,
            ),
        )
        targets = tuple(Target(*each) for each in sorted(weights.items()))
        change = draw(st.just(PolicyChange()) | changes)
        drawn.append(RoutingRule(name, 'a.b', f'/{name}/', targets, change))
    return drawn


def keep_printable(text: str) -> str:
    """Returns the printable characters of a text, without outer whitespace."""
    return ''.join(filter(str.isprintable, text)).strip()


def get_problems(text: str) -> dict[str, str]:
    """Returns the problems of a configuration by key."""
    problems = parse_configuration(text, 'fleet.yaml').failure()
    return {problem.key: problem.detail for problem in problems}


class ConfigurationFileTest(TestCase):
    """Tests of parsing, rendering and validation."""

    def test_good_file_is_typed_and_sorted(self):
        """Defaults, services and exceptions are stored in their records."""
        parsed = parse_configuration(GOOD, 'fleet.yaml').unwrap()
        self.assertEqual(4000, parsed.defaults.timeout_ms)
        self.assertEqual(172_800, parsed.defaults.claim_retention_s)
        self.assertEqual(
            ['callouts', 'stock'],
            [service.name for service in parsed.services],
        )
        self.assertEqual(
            PolicyChange(timeout_ms=900, priority=Priority.URGENT),
            parsed.exceptions[0].change,
        )

    def test_everything_wrong_is_told_at_once(self):
        """Each rule reports its key, whatever other rules are violated."""
        problems = get_problems(
            GOOD.replace('stock: {}', 'stock: {hosts: [callouts.example]}')
            .replace('service: callouts', 'service: boats')
            .replace('timeout: 900ms', 'timeout: 2h')
            .replace('retry_budget: 10%', 'retry_budget: 101%')
            .replace('reason: a dispatcher at night cannot wait', 'reason: " "')
            .replace('timeout: 4s', 'timeuot: 4s'),
        )
        self.assertEqual(
            {
                'defaults.timeuot',
                'defaults.retry_budget',
                'services.callouts.hosts',
                'exceptions.night.service',
                'exceptions.night.set.timeout',
                'exceptions.night.reason',
            },
            set(problems),
        )

    def test_missing_reason_is_refused(self):
        """An exception without a reason is rejected."""
        problems = get_problems(GOOD.replace('    reason: a disp', '#'))
        self.assertEqual({'exceptions.night.reason'}, set(problems))

    def test_exception_that_changes_nothing_is_refused(self):
        """An exception with an empty `set` is rejected."""
        problems = get_problems(
            GOOD.replace('{timeout: 900ms, priority: urgent}', '{}'),
        )
        self.assertEqual({'exceptions.night.set'}, set(problems))

    def test_duplicate_service_is_refused(self):
        """A duplicate service is reported rather than dropped."""
        problems = get_problems(GOOD.replace('stock: {}', 'callouts: {}'))
        self.assertIn('duplicate key "callouts"', problems[''])

    @given(configurations())
    def test_rendering_is_reversible(self, configuration):
        """A rendered configuration is parsed to an equal, valid one."""
        rendered = render_configuration(configuration)
        self.assertEqual(
            configuration,
            parse_configuration(rendered, 'rendered').unwrap(),
        )
        content = encode_configuration(configuration)
        self.assertEqual([], validate_content(content))

    def test_content_that_breaks_rules_is_refused(self):
        """The rules of the file also apply to the canonical encoding."""
        service = Service('callouts', ('callouts.example',))
        for bad in (
            Configuration(CallPolicy(timeout_ms=0)),
            Configuration(services=(Service('z'), Service('a'))),
            Configuration(services=(service, service)),
            Configuration(
                services=(service,),
                exceptions=(
                    RouteException(
                        'x', 'callouts', ' ', PolicyChange(retries=1)
                    ),
                ),
            ),
        ):
            self.assertNotEqual([], validate_content(encode_configuration(bad)))

    @given(st.binary(max_size=60))
    def test_garbage_content_is_reported(self, garbage):
        """Bytes that are not a configuration are reported."""
        self.assertNotEqual([], validate_content(garbage))

    @given(st.text(alphabet='{}[]:&*!-, \nab0~', max_size=40))
    def test_garbage_text_gives_a_result(self, garbage):
        """Any text gives a configuration or problems."""
        parsed = parse_configuration(garbage, 'fleet.yaml')
        self.assertIn(type(parsed).__name__, {'Success', 'Failure'})
