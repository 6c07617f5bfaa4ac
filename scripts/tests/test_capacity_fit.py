"""The fit behind docs/CAPACITY.md: a wrong line would give wrong capacity figures."""

import capacity_fit
import pytest


def test_a_line_is_found_exactly():
    """Detects a fit that swaps slope and intercept."""
    line = capacity_fit.fit([(1, 5.0), (2, 7.0), (4, 11.0), (8, 19.0)])
    assert (line.slope, line.intercept) == pytest.approx((2.0, 3.0))
    assert line.residual == pytest.approx(0.0)


def test_the_residual_shows_the_point_farthest_from_the_line():
    """Detects a residual that hides nonlinear costs; the least-squares line here is y = 1."""
    line = capacity_fit.fit([(0, 0.0), (1, 2.0), (2, 2.0), (3, 0.0)])
    assert (line.slope, line.intercept) == pytest.approx((0.0, 1.0))
    assert line.residual == pytest.approx(0.5)


def test_one_size_gives_no_line():
    """Detects a slope computed from several measurements of a single size."""
    with pytest.raises(ValueError, match="two sizes"):
        capacity_fit.fit([(4, 1.0), (4, 2.0)])
