"""Draws a table: a panel for each figure, with the seeds of each variant and its mean with the interval.

It draws only what the table contains and must never run an experiment. The same table gives the same file.
"""

import matplotlib

matplotlib.use("agg")
matplotlib.rcParams["svg.hashsalt"] = "cartdeal"

from matplotlib import pyplot  # noqa: E402

from cartdeal.lab.compare import compare_variants, values_by_variant  # noqa: E402


def draw(description: str, rows: list[dict], figures: list[str], path):
    """Draws the figures of a table's rows to a file, .svg or .png."""
    chart, panels = pyplot.subplots(
        1, len(figures), figsize=(1.5 + 4 * len(figures), 3.6), squeeze=False, layout="constrained"
    )
    for panel, figure in zip(panels[0], figures, strict=True):
        values = values_by_variant(rows, figure)
        for position, (name, mean, half_width, *_) in enumerate(compare_variants(rows, figure)):
            seeds = list(values[name].values())
            panel.plot(seeds, [position] * len(seeds), "o", color="0.7", markersize=4)
            panel.errorbar(mean, position, xerr=half_width, fmt="D", color="C0", capsize=4)
        panel.set_yticks(range(len(values)), list(values))
        panel.set_ylim(len(values) - 0.5, -0.5)
        panel.set_title(figure)
        panel.grid(axis="x", alpha=0.3)
    chart.supxlabel(f"{description}; diamonds: mean, 95% interval", fontsize=7)
    chart.savefig(path, metadata={"Date": None} if str(path).endswith("svg") else None)
    pyplot.close(chart)
