"""Draws a table: for each figure a panel, for each variant its seeds and its mean with the interval.

It draws what the table holds and must never play anything. The same table gives the same file.
"""

import matplotlib

matplotlib.use("agg")
matplotlib.rcParams["svg.hashsalt"] = "cartdeal"

from matplotlib import pyplot  # noqa: E402

from cartdeal.lab.compare import by_variant, compared  # noqa: E402


def draw(words: str, rows: list[dict], figures: list[str], to):
    chart, panels = pyplot.subplots(
        1, len(figures), figsize=(1.5 + 4 * len(figures), 3.6), squeeze=False, layout="constrained"
    )
    for panel, figure in zip(panels[0], figures, strict=True):
        values = by_variant(rows, figure)
        for place, (name, mean, aside, *_) in enumerate(compared(rows, figure)):
            seeds = list(values[name].values())
            panel.plot(seeds, [place] * len(seeds), "o", color="0.7", markersize=4)
            panel.errorbar(mean, place, xerr=aside, fmt="D", color="C0", capsize=4)
        panel.set_yticks(range(len(values)), list(values))
        panel.set_ylim(len(values) - 0.5, -0.5)
        panel.set_title(figure)
        panel.grid(axis="x", alpha=0.3)
    chart.supxlabel(f"{words}; diamonds: mean, 95% interval", fontsize=7)
    chart.savefig(to, metadata={"Date": None} if str(to).endswith("svg") else None)
    pyplot.close(chart)
