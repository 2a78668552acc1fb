package hollow

import (
	"errors"
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// errFewSizes says that a line through the points is not determined.
var errFewSizes = errors.New("a fit needs at least 3 points at 2 or more sizes")

// Point is one measured value at one size.
type Point struct {
	Size  float64
	Value float64
}

// Line is value = Slope x size + Constant, fitted by least squares.
type Line struct {
	Slope, Constant float64
	// SlopeError is the standard error of Slope.
	SlopeError float64
	// RootMeanSquare is that of the distances between points and line, in the
	// unit of the value.
	RootMeanSquare float64
	// RSquared is the share of the values' variance that the line explains.
	RSquared float64
	// From and To are the smallest and largest size measured.
	From, To float64
	Points   int
}

// FitLine fits a line to at least three points.
func FitLine(points []Point) (Line, error) {
	line := Line{From: math.Inf(1), To: math.Inf(-1), Points: len(points)}
	sizes := make([]float64, len(points))
	values := make([]float64, len(points))
	for i, point := range points {
		sizes[i], values[i] = point.Size, point.Value
		line.From = min(line.From, point.Size)
		line.To = max(line.To, point.Size)
	}
	if len(points) < 3 || line.From == line.To {
		return Line{}, errFewSizes
	}
	line.Constant, line.Slope = stat.LinearRegression(sizes, values, nil, false)
	line.RSquared = stat.RSquared(sizes, values, nil, line.Constant, line.Slope)
	line.addErrors(sizes, values)
	return line, nil
}

// addErrors fills in the errors from the distances between points and line.
func (line *Line) addErrors(sizes, values []float64) {
	var squares float64
	for i, size := range sizes {
		distance := values[i] - line.At(size)
		squares += distance * distance
	}
	count := float64(len(sizes))
	line.RootMeanSquare = math.Sqrt(squares / count)
	spread := stat.Variance(sizes, nil) * (count - 1)
	line.SlopeError = math.Sqrt(squares / (count - 2) / spread)
}

// At is the value of the line at a size.
func (line Line) At(size float64) float64 { return line.Slope*size + line.Constant }

// String returns "slope x size + constant" with the slope's error.
func (line Line) String() string {
	return fmt.Sprintf("(%.4g ± %.2g) x size + %.4g", line.Slope, line.SlopeError, line.Constant)
}
