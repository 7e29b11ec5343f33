"""One page on how the deployments have done, from the journal of all runs.

The page holds everything it shows: it can be mailed and opened anywhere.
"""

from __future__ import annotations

import html
import pathlib
from typing import NamedTuple

import pygal
import pygal.style

from hillthread import errors
from hillthread.platform import journal

__all__ = ["SiteHistory", "histories", "render_page", "write_report"]

# Runs of all standard days of a deployment.
_WHOLE_RUN = "score"
# A day drawn for one run only; it is not comparable with others.
_DRAWN_PREFIX = "fresh-"
_MOST_PRICES = 8
_CHART_HEIGHT = 360
_STYLE = """
body { font-family: sans-serif; margin: 2em auto; max-width: 70em; }
table { border-collapse: collapse; margin: 1em 0; }
td, th { border: 1px solid #ccc; padding: 0.2em 0.6em; text-align: right; }
td:first-child, th:first-child { text-align: left; }
.broken { color: #b00; }
"""


class SiteHistory(NamedTuple):
    """What has been played on one deployment.

    Attributes:
        site: The deployment.
        rounds: Runs of all its days, the oldest first.
        broken: Days of any run on which a rule was broken, with their runs.
    """

    site: str
    rounds: tuple[journal.JournalEntry, ...]
    broken: tuple[tuple[journal.JournalEntry, journal.DayResult], ...]


def histories(entries: list[journal.JournalEntry]) -> list[SiteHistory]:
    """Returns the history of each deployment, by name."""
    sites = sorted({entry.site for entry in entries if entry.site})
    found = []
    for site in sites:
        own = [entry for entry in entries if entry.site == site]
        rounds = [e for e in own if e.command == _WHOLE_RUN and e.days]
        broken = [(e, day) for e in own for day in e.days if day.broken]
        found.append(SiteHistory(site, tuple(rounds), tuple(broken)))
    return found


def write_report(folder: pathlib.Path, output: pathlib.Path) -> int:
    """Writes the page on a journal and returns how many runs it tells of.

    Beside it a picture of the worth of each deployment is written.

    Raises:
        ConfigurationError: An entry is unreadable.
        HillthreadError: There are none.
    """
    entries = journal.read_entries(folder)
    if not entries:
        raise errors.HillthreadError(
            f"There are no entries in {folder}.",
            "Name the folder that the platform's bench writes to.",
        )
    sites = histories(entries)
    output.write_text(render_page(sites))
    for site in sites:
        if site.rounds:
            picture = output.with_name(f"worth-{site.site}.svg")
            picture.write_text(_worth_chart(site))
    return len(entries)


def render_page(sites: list[SiteHistory]) -> str:
    """Returns the page."""
    parts = [
        "<!doctype html><html lang='en'><head><meta charset='utf-8'>",
        f"<title>hillthread</title><style>{_STYLE}</style></head><body>",
        "<h1>How the deployments have done</h1>",
    ]
    parts += [_section(site) for site in sites]
    parts.append("</body></html>")
    return "\n".join(parts)


def _section(site: SiteHistory) -> str:
    parts = [f"<h2>{html.escape(site.site)}</h2>"]
    if site.rounds:
        parts.append(_figure(_worth_chart(site)))
        parts.append(_latest_table(site.rounds[-1]))
        parts.append(_figure(_price_chart(site.rounds[-1])))
    else:
        parts.append("<p>No run of all days.</p>")
    parts.append(_broken_list(site))
    return "\n".join(parts)


def _standard(entry: journal.JournalEntry) -> list[journal.DayResult]:
    return [d for d in entry.days if not d.name.startswith(_DRAWN_PREFIX)]


def _worth_chart(site: SiteHistory) -> str:
    chart = pygal.Line(**_options("Worth by day, run after run"))
    chart.x_labels = [entry.entry_id for entry in site.rounds]
    names = sorted({day.name for e in site.rounds for day in _standard(e)})
    for name in names:
        values = [_worth(entry, name) for entry in site.rounds]
        chart.add(name, values)
    return chart.render(is_unicode=True)


def _worth(entry: journal.JournalEntry, name: str) -> float | None:
    """Returns the worth of a day in a run; None when it was not played."""
    for day in entry.days:
        if day.name == name:
            return day.worth
    return None


def _price_chart(entry: journal.JournalEntry) -> str:
    chart = pygal.StackedBar(**_options("Largest prices of the last run"))
    days = _standard(entry)
    chart.x_labels = [day.name for day in days]
    totals: dict[str, float] = {}
    for day in days:
        for price in day.prices:
            totals[price.name] = totals.get(price.name, 0.0) + price.cost
    largest = sorted(totals, key=lambda name: -totals[name])[:_MOST_PRICES]
    for name in largest:
        costs = [
            sum(price.cost for price in day.prices if price.name == name)
            for day in days
        ]
        chart.add(name, costs)
    return chart.render(is_unicode=True)


def _latest_table(entry: journal.JournalEntry) -> str:
    head = ("day", "worth", "served", "refused", "failed", "broken")
    rows = [
        (
            day.name,
            f"{day.worth:.3f}",
            f"{day.served:.3f}",
            f"{day.refused:.3f}",
            f"{day.failed:.3f}",
            _broken_words(day),
        )
        for day in entry.days
    ]
    told = html.escape(f"Last run: {entry.began_at}, {entry.reason}")
    cells = "".join(f"<th>{each}</th>" for each in head)
    lines = "".join(
        "<tr>" + "".join(f"<td>{html.escape(c)}</td>" for c in row) + "</tr>"
        for row in rows
    )
    return f"<p>{told}</p><table><tr>{cells}</tr>{lines}</table>"


def _broken_list(site: SiteHistory) -> str:
    if not site.broken:
        return "<p>No rule was ever broken.</p>"
    items = "".join(
        f"<li class='broken'>{html.escape(entry.began_at)} "
        f"{html.escape(entry.command)} {html.escape(day.name)}: "
        f"{html.escape(_broken_words(day))}</li>"
        for entry, day in site.broken
    )
    return f"<p>Rules broken, in all runs:</p><ul>{items}</ul>"


def _broken_words(day: journal.DayResult) -> str:
    return ", ".join(f"{rule} {count}" for rule, count in day.broken.items())


def _options(title: str) -> dict[str, object]:
    return {
        "title": title,
        "height": _CHART_HEIGHT,
        "js": [],  # the page must not load anything
        "style": pygal.style.CleanStyle,
        "x_label_rotation": 30,
        "legend_at_bottom": True,
        "disable_xml_declaration": True,
    }


def _figure(picture: str) -> str:
    return f"<figure>{picture}</figure>"
