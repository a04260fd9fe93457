"""Straight lines through measurements at several sizes."""

from __future__ import annotations

import msgspec


class Slope(msgspec.Struct, frozen=True):
    """A line fitted by least squares.

    Attributes
    ----------
    name : str
        What was measured, with its unit as suffix.
    per : str
        What one step of the size is.
    sizes, values : list of float
        The measurements.
    slope, intercept : float
        The line.
    residual_share : float
        Largest distance from the line against the largest value.
    """

    name: str
    per: str
    sizes: list[float]
    values: list[float]
    slope: float
    intercept: float
    residual_share: float

    def value_at(self, size: float) -> float:
        """Give the line's value at a size."""
        return self.intercept + self.slope * size


def fit_line(
    name: str, per: str, sizes: list[float], values: list[float]
) -> Slope:
    """Fit a line.

    Parameters
    ----------
    name, per : str
        What was measured, and what a step of the size is.
    sizes, values : list of float, shape (n,)
        The measurements; at least two different sizes.

    Returns
    -------
    Slope
        The line and how well it fits.
    """
    count = len(sizes)
    mean_size = sum(sizes) / count
    mean_value = sum(values) / count
    size_squares = sum((size - mean_size) ** 2 for size in sizes)
    products = sum(
        (size - mean_size) * (value - mean_value)
        for size, value in zip(sizes, values, strict=True)
    )
    slope = products / size_squares
    intercept = mean_value - slope * mean_size
    residuals = [
        abs(value - intercept - slope * size)
        for size, value in zip(sizes, values, strict=True)
    ]
    largest = max(max(abs(value) for value in values), 1e-12)
    return Slope(
        name,
        per,
        sizes,
        values,
        slope,
        intercept,
        max(residuals) / largest,
    )
