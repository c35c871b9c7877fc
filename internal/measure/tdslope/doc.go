// Package tdslope measures what a node costs as one size of a deployment
// grows, and fits a straight line through the points of each figure.
//
// The nodes are real processes; the platform and the backend servers are
// stand-ins in the measuring process, which is not counted. A sweep changes
// one size, its axis, and keeps the others.
//
// # Usage
//
//	points, err := tdslope.Sweep(ctx, tdslope.AxisNodes, tdslope.Options{Binary: path, Window: 5 * time.Second})
//	lines := tdslope.Fit(points)
//	err = tdslope.Table(os.Stdout, tdslope.Result{Axis: tdslope.AxisNodes, Points: points, Lines: lines})
package tdslope
