"""Linear fits of measurements at several sizes."""

from __future__ import annotations

import msgspec


class Slope(msgspec.Struct, frozen=True):
    """A line fitted by least squares.

    Attributes
    ----------
    name : str
        Name of the measurement, with its unit as suffix.
    per : str
        Unit of the size.
    sizes, values : list of float
        Sizes and the values measured at them.
    slope, intercept : float
        Coefficients of the line.
    residual_share : float
        Largest residual relative to the largest absolute value.
    """

    name: str
    per: str
    sizes: list[float]
    values: list[float]
    slope: float
    intercept: float
    residual_share: float

    def value_at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


def fit_line(
    name: str, per: str, sizes: list[float], values: list[float]
) -> Slope:
    """Fit a line by least squares.

    Parameters
    ----------
    name, per : str
        Name of the measurement and unit of the size.
    sizes, values : list of float, shape (n,)
        Sizes and the values measured at them; at least two of the sizes
        must differ.

    Returns
    -------
    Slope
        The line and its largest residual.
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
