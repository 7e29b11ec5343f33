"""Faults of targets: what they answer, how they end, which orders they obey."""

from __future__ import annotations

import time

import anyio

from hillthread.bench.gateway_soak import injector as injector_lib
from hillthread.bench.gateway_soak import stage as stage_lib
from hillthread.protocol import body_framing
from hillthread.standin import platform_target

__all__ = ["TargetFaults"]

_ENGINES = "engines"
_PLAIN = "plain"
_RESTART_S = (0.0, 1.0)
_CONFLICT = 409
_ORDERS_LATE_S = (0.5, 5.0)
_SLOW_LOAD_S = (0.3, 2.5)
# Some outlast the bound on starts on older weights.
_DISOBEDIENT_S = (2.0, 14.0)
# Some are far below what callers ask of a target, some hardly.
_LIMITS_PER_S = (0.5, 2.0, 8.0)
_LIMITED_S = (5.0, 9.0)
_BACKOFF_S = (0.6, 4.0)
# A departing target goes on serving for longer than the bound on its departure.
_DEPARTING_S = (2.0, 5.0)
_FAILING_S = (2.0, 5.0)
_FAILURE_PAUSE_S = 0.01
_REPEATED_AFTER_S = (0.0, 0.04)
_REPEATING_S = (1.0, 4.0)
# Answers to other requests are late when their connection is used again.
_BEHIND_S = 0.02
_ENDLESS_HEADS = (
    platform_target.EndlessShape.HEAD_LINE,
    platform_target.EndlessShape.HEAD_LINES,
    platform_target.EndlessShape.INTERIM_ANSWERS,
    platform_target.EndlessShape.REFUSAL_BODY,
)
# Share of engines that crash when their release is replaced.
_CRASH_SHARE = 0.5
_BEHAVIOURS: tuple[platform_target.Behaviour, ...] = (
    platform_target.Refuse(),
    platform_target.Fail(),
    platform_target.ResetConnection(),
    platform_target.NeverAnswer(),
    platform_target.TruncateStream(0),
    platform_target.TruncateStream(2),
    platform_target.MismatchedAnswer(),
    platform_target.EncodedAnswer(),
    platform_target.ExtraAnswer(),
    platform_target.UnframedAnswer(),
    platform_target.UnframedAnswer(reset=True),
    platform_target.Serve(0.05),
)
_FRAMINGS = (
    body_framing.BodyFraming.CHUNKED,
    body_framing.BodyFraming.LENGTH,
    body_framing.BodyFraming.CLOSE,
)


class TargetFaults:
    """Faults of targets.

    Attributes:
        injector: Chooses and notes.
        stage: What they act on.
    """

    def __init__(self, injector: injector_lib.Injector):
        self.injector = injector
        self.stage = injector.stage

    @property
    def kinds(self) -> tuple[injector_lib.Fault, ...]:
        """All of them."""
        return (
            self.target_misbehaves,
            self.targets_fail,
            self.target_cuts_streams,
            self.target_crashes,
            self.target_restarts,
            self.target_starts_again,
            self.target_leaves,
            self.address_reused,
            self.engine_disobeys,
            self.engines_disobey,
            self.target_names_limit,
            self.target_announces_departure,
            self.target_sheds_load,
            self.target_truncates_streams,
            self.target_repeats_answers,
            self.target_sends_without_end,
            self.release_replaced,
        )

    async def target_misbehaves(self) -> None:
        """A target treats its next requests badly."""
        target = self.injector.target()
        if target is not None:
            with self.injector.noted("target_misbehaves", target.name):
                count = self.injector.random.randint(1, 4)
                target.queue_behaviours(
                    *self.injector.random.choices(_BEHAVIOURS, k=count)
                )
                await anyio.sleep(self.injector.between(injector_lib.FAULT_S))

    async def targets_fail(self) -> None:
        """All targets of a service fail most of what they run."""
        service = self.injector.random.choice((_ENGINES, _PLAIN))
        targets = [
            target
            for target in self.stage.targets.values()
            if target.service == service
        ]
        names = [target.name for target in targets]
        with self.injector.noted("targets_fail", *names):
            until = time.monotonic() + self.injector.between(_FAILING_S)
            while time.monotonic() < until:
                for target in targets:
                    if not target.behaviours:
                        target.queue_behaviours(
                            *[platform_target.ResetConnection()] * 3,
                            platform_target.Serve(),
                        )
                await anyio.sleep(_FAILURE_PAUSE_S)

    async def target_cuts_streams(self) -> None:
        """An engine breaks off its next streams within an event."""
        target = self.injector.target(_ENGINES)
        if target is not None:
            with self.injector.noted("target_cuts_streams", target.name):
                cut = platform_target.TruncateStream(
                    self.injector.random.randint(0, 4)
                )
                target.queue_behaviours(
                    *[cut] * self.injector.random.randint(1, 4)
                )
                await anyio.sleep(self.injector.between(injector_lib.FAULT_S))

    async def target_truncates_streams(self) -> None:
        """An engine ends its next streams inside an event, in any framing."""
        target = self.injector.target(_ENGINES)
        if target is None:
            return
        choose = self.injector.random.choice
        with self.injector.noted("target_truncates_streams", target.name):
            target.line_end = choose((b"\n", b"\r\n"))
            for _ in range(self.injector.random.randint(1, 4)):
                target.queue_behaviours(
                    platform_target.TruncateStream(
                        self.injector.random.randint(0, 4),
                        choose(_FRAMINGS),
                        orderly=choose((True, False)),
                    )
                )
            await anyio.sleep(self.injector.between(injector_lib.FAULT_S))

    async def target_repeats_answers(self) -> None:
        """A target sends answers a second time, late, to no request."""
        target = self.injector.target()
        if target is None or target.surplus is not None:
            return
        with self.injector.noted("target_repeats_answers", target.name):
            target.surplus = platform_target.SurplusAnswers(
                set(platform_target.AnswerKind),
                self.injector.between(_REPEATED_AFTER_S),
            )
            until = time.monotonic() + self.injector.between(_REPEATING_S)
            while time.monotonic() < until:
                if not target.behaviours:
                    target.queue_behaviours(
                        platform_target.Refuse(421),
                        platform_target.Serve(_BEHIND_S),
                    )
                await anyio.sleep(_FAILURE_PAUSE_S)
            target.surplus = None

    async def target_sends_without_end(self) -> None:
        """A target answers its next requests with bytes without end."""
        target = self.injector.target()
        if target is None:
            return
        shapes = list(platform_target.EndlessShape)
        if target.service == _PLAIN:
            # Bytes of a plain answer are relayed as they come.
            shapes = list(_ENDLESS_HEADS)
        draw = self.injector.random
        with self.injector.noted("target_sends_without_end", target.name):
            for _ in range(draw.randint(1, 4)):
                target.queue_behaviours(
                    platform_target.EndlessAnswer(
                        draw.choice(shapes), interval_s=draw.choice((0.0, 0.1))
                    )
                )
            await anyio.sleep(self.injector.between(injector_lib.FAULT_S))

    async def target_crashes(self) -> None:
        """A target is gone; its entry lapses and another one comes."""
        target = self.injector.target()
        if target is not None:
            with self.injector.noted("target_crashes", target.name):
                await self.stage.end_target(target)
                await anyio.sleep(injector_lib.LAPSE_S)
                self.stage.unlist_target(target)
            weights = self.injector.random.choice((0, target.weights))
            self.stage.add_target(target.service, weights)

    async def target_restarts(self) -> None:
        """A target is gone, and is back at its address with its weights."""
        target = self.injector.target()
        if target is None:
            return
        with self.injector.noted("target_restarts", target.name):
            await self.stage.end_target(target)
            await anyio.sleep(self.injector.between(_RESTART_S))
            self.stage.add_target(target.service, target.weights, target.link)
            await anyio.sleep(injector_lib.LAPSE_S)
            self.stage.unlist_target(target)

    async def target_starts_again(self) -> None:
        """A target ends, and starts again under its name and address."""
        target = self.injector.target()
        if target is None:
            return
        with self.injector.noted("target_starts_again", target.name):
            await self.stage.end_target(target)
            await anyio.sleep(self.injector.between(_RESTART_S))
            self.stage.start_again(target)

    async def target_leaves(self) -> None:
        """A target says that it leaves, serves on, and is replaced."""
        target = self.injector.target()
        if target is None:
            return
        self.stage.list_target(target, "draining")
        self.stage.add_target(target.service)
        await anyio.sleep(
            self.stage.evidence.bounds.drain_s + injector_lib.LAPSE_S
        )
        self.stage.unlist_target(target)
        await self.stage.end_target(target)

    async def release_replaced(self) -> None:
        """Engines of a release are replaced by those of the next one.

        Some crash and come back at their address, others leave.
        """
        releases = self.stage.releases
        old, kept = releases
        new = f"v{int(kept.removeprefix('v')) + 1}"
        releases[:] = [kept, new]
        for engine in list(self.stage.targets.values()):
            if engine.release == old and engine.service == _ENGINES:
                await self._replace_engine(engine, new)
                await anyio.sleep(self.injector.between(_RESTART_S))

    async def _replace_engine(
        self, engine: stage_lib.LinkedTarget, release: str
    ) -> None:
        if self.stage.targets.get(engine.name) is not engine:
            return  # another fault has ended it
        if self.injector.random.random() < _CRASH_SHARE:
            with self.injector.noted("release_replaced", engine.name):
                await self.stage.end_target(engine)
                self.stage.add_target(
                    _ENGINES, link=engine.link, release=release
                )
                await anyio.sleep(injector_lib.LAPSE_S)
                self.stage.unlist_target(engine)
            return
        self.stage.list_target(engine, "draining")
        self.stage.add_target(_ENGINES, release=release)
        await anyio.sleep(
            self.stage.evidence.bounds.drain_s + injector_lib.LAPSE_S
        )
        self.stage.unlist_target(engine)
        await self.stage.end_target(engine)

    async def address_reused(self) -> None:
        """A target is gone, and its address goes to one of another service."""
        target = self.injector.target(_ENGINES)
        if target is None:
            return
        with self.injector.noted("address_reused", target.name):
            await self.stage.end_target(target)
            self.stage.add_target("plain", link=target.link)
            await anyio.sleep(injector_lib.LAPSE_S)
            self.stage.unlist_target(target)
        self.stage.add_target(_ENGINES)

    async def engine_disobeys(self) -> None:
        """An engine refuses orders, carries them out late, or loads slowly."""
        engine = self.injector.target(_ENGINES)
        if engine is not None:
            await self._disobey(engine)

    async def engines_disobey(self) -> None:
        """All engines do so, for longer."""
        async with anyio.create_task_group() as tasks:
            for target in list(self.stage.targets.values()):
                if target.service == _ENGINES:
                    tasks.start_soon(self._disobey, target)

    async def target_names_limit(self) -> None:
        """A target in need names a limit, another one, and none any more."""
        target = self.injector.target()
        if target is None or target.limit_per_s is not None:
            return
        for _ in range(self.injector.random.randint(1, 2)):
            limit_per_s = self.injector.random.choice(_LIMITS_PER_S)
            self.stage.name_limit(target, limit_per_s)
            await anyio.sleep(self.injector.between(_LIMITED_S))
        self.stage.name_limit(target, None)

    async def target_announces_departure(self) -> None:
        """A target announces that it leaves in its answers, not in the list."""
        target = self.injector.target()
        if target is None or target.announces_leaving:
            return
        target.announces_leaving = True
        self.stage.add_target(target.service, target.weights)
        await anyio.sleep(self.injector.between(_DEPARTING_S))
        if target.announces_leaving:  # it has not started again
            await self.stage.end_target(target)
            self.stage.unlist_target(target)

    async def target_sheds_load(self) -> None:
        """A target refuses everything and asks for a back-off."""
        target = self.injector.target()
        if target is None or target.backoff_s:
            return
        target.backoff_s = self.injector.between(_BACKOFF_S)
        await anyio.sleep(self.injector.between(injector_lib.FAULT_S))
        target.backoff_s = 0.0

    async def _disobey(self, engine: stage_lib.LinkedTarget) -> None:
        match self.injector.random.choice(("refuse", "late", "slow")):
            case "refuse":
                engine.order_status = _CONFLICT
            case "late":
                late_s = self.injector.between(_ORDERS_LATE_S)
                engine.order_delay_s = late_s
            case "slow":
                engine.load_s = self.injector.between(_SLOW_LOAD_S)
        await anyio.sleep(self.injector.between(_DISOBEDIENT_S))
        engine.order_status = 0
        engine.order_delay_s = 0.0
        engine.load_s = platform_target.LOAD_S
