"""`hillthread-bench`: comparisons, costs and the demonstration."""

from __future__ import annotations

import pathlib

import msgspec

from hillthread import errors
from hillthread.bench import compare as compare_lib
from hillthread.bench import control_cost
from hillthread.bench import control_times
from hillthread.bench import demo as demo_lib
from hillthread.bench import gateway_demo as gateway_demo_lib
from hillthread.bench import limits as limits_lib
from hillthread.bench import overhead as overhead_lib
from hillthread.bench import report as report_lib
from hillthread.bench import slopes as slopes_lib
from hillthread.bench import soak as soak_lib
from hillthread.bench.faults import runner
from hillthread.bench.gateway_soak import regressions
from hillthread.bench.gateway_soak import runner as gateway_soak_lib
from hillthread.bench.gateway_soak import series
from hillthread.transport import command

__all__ = ["main"]


def _print_json(value: object) -> None:
    print(msgspec.json.encode(value).decode())


def compare(
    workload: str,
    seed: int = 1,
    json: bool = True,
    routers: int = 1,
    talk_s: float = 0.0,
    crashes: int = 0,
    duration_s: float = 120.0,
) -> None:
    """Compares the policies on one trace and prints one JSON object.

    Args:
        workload: `prairie` or `wetterwerk`.
        seed: Of the trace.
        json: Print JSON; otherwise a table.
        routers: Routers that share the load.
        talk_s: Time between two messages of a router to the others; 0 for
            routers that do not talk.
        crashes: Engines that crash during the trace.
        duration_s: Length of the trace.
    """
    setup = compare_lib.Setup(
        workload,
        seed,
        routers=routers,
        talk_s=talk_s,
        crashes=crashes,
        duration_s=duration_s,
    )
    result = compare_lib.compare(setup)
    if json:
        _print_json(result["policies"])
        return
    for name, values in result["policies"].items():
        print(name, values)


def demo() -> None:
    """Shows the whole path with real processes on loopback."""
    demo_lib.run_demo()


def gateway_demo() -> None:
    """Shows gateways on a platform with a store, all on loopback."""
    gateway_demo_lib.run_gateway_demo()


def report(
    journal: str = "journal", output: str = "target/report.html"
) -> None:
    """Writes one page on all runs that the platform's bench has noted.

    Args:
        journal: The folder of its entries.
        output: Where the page is written.
    """
    path = pathlib.Path(output)
    path.parent.mkdir(parents=True, exist_ok=True)
    count = report_lib.write_report(pathlib.Path(journal), path)
    print(f"{count} runs told in {path}")


def overhead(json: bool = True) -> None:
    """Measures what the router adds to each request and token.

    Args:
        json: Print JSON; otherwise a line for each figure.
    """
    costs = overhead_lib.measure_overhead()
    result = {name: cost._asdict() for name, cost in costs.items()}
    if json:
        _print_json(result)
        return
    for name, value in result.items():
        print(f"{name}: {value}")


def limits(seed: int = 1) -> None:
    """Measures how closely a tenant's limit is kept.

    Args:
        seed: Of the arrivals.
    """
    for pattern, ways in limits_lib.measure_limits(seed).items():
        for way, result in ways.items():
            print(pattern, way, msgspec.json.encode(result._asdict()).decode())


def control() -> None:
    """Measures how long changes and restarts take on 8 hosts."""
    times = control_times.measure_control_times()
    for name, value in times._asdict().items():
        print(f"{name}: {value:.3f}")


def soak(seconds: float = 600.0, seed: int = 1) -> None:
    """Runs both shapes over 8 hosts with random faults, promises checked.

    Args:
        seconds: How long.
        seed: Of arrivals and faults.
    """
    report = soak_lib.run_soak(seconds, seed)
    for name, value in report._asdict().items():
        print(f"{name}: {value}")
    if report.violations:
        raise errors.HillthreadError(
            f"{len(report.violations)} promises were broken.",
            "Run it again with the same seed and read the logs.",
        )


def gateway_soak(
    seed: int = 1,
    seeds: int = 1,
    seconds: float = 20.0,
    hosts: int = 3,
    engines: int = 3,
    callers: int = 8,
    faults: str | tuple[str, ...] = "",
    keep: str = "",
) -> None:
    """Runs gateways as processes under random faults, promises judged.

    Args:
        seed: The first one, of load and faults.
        seeds: How many are run, one after the other.
        seconds: How long faults begin in each.
        hosts: Gateways.
        engines: Engines; three plain targets come with them.
        callers: Callers at the same time.
        faults: Kinds of faults, separated by commas; all when left out.
        keep: Folder for the logs of seeds that broke promises.
    """
    if isinstance(faults, str):  # the command line splits more than one itself
        faults = (faults,) if faults else ()
    series.run_series(
        gateway_soak_lib.SoakPlan(
            each, seconds, hosts, engines, callers, faults, keep=keep
        )
        for each in range(seed, seed + seeds)
    )


def gateway_soak_again(keep: str = "") -> None:
    """Runs the seeds that once broke a promise in `gateway-soak`.

    Args:
        keep: Folder for the logs of seeds that broke promises.
    """
    series.run_series(
        gateway_soak_lib.SoakPlan(
            each.seed,
            each.seconds,
            each.hosts,
            each.engines,
            each.callers,
            each.faults,
            keep=keep,
            without=each.without,
        )
        for each in regressions.REGRESSIONS
    )


def slopes(json: bool = True, seconds: float = 10.0) -> None:
    """Measures what one more of each thing costs.

    Args:
        json: Print JSON; otherwise a line for each slope.
        seconds: How long control is measured at each size of a site.
    """
    result: dict[str, object] = {
        name: slope._asdict()
        for name, slope in slopes_lib.measure_slopes().items()
    }
    for hosts_each in (1, 4):
        cost = control_cost.measure_control(hosts_each, seconds)
        result[f"control_of_{cost.hosts}_hosts"] = cost._asdict()
    if json:
        _print_json(result)
        return
    for name, values in result.items():
        print(f"{name}: {values}")


def faults(
    seed: int = 1, sample: int = 0, page: str = "docs/FAULTS.md"
) -> None:
    """Runs the fault matrix with real processes.

    Args:
        seed: Of the sample.
        sample: Cells of each part; 0 for all, which writes the page.
        page: Where the page is written.
    """
    report = runner.run_matrix(seed, sample, "" if sample else page)
    print(report.totals())
    if report.violations:
        raise errors.HillthreadError(
            f"{report.violations} cells broke their promise.",
            "Run one again with --seed and read the processes' logs.",
        )


def main() -> None:
    """The console script."""
    command.run_command(
        {
            "compare": compare,
            "control": control,
            "demo": demo,
            "faults": faults,
            "gateway-demo": gateway_demo,
            "gateway-soak": gateway_soak,
            "gateway-soak-again": gateway_soak_again,
            "limits": limits,
            "overhead": overhead,
            "report": report,
            "slopes": slopes,
            "soak": soak,
        }
    )


if __name__ == "__main__":
    main()
