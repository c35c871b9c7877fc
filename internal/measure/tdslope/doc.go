// Package tdslope measures the resource usage of nodes as one size of a
// deployment grows, and fits a straight line to the points of each figure.
//
// The nodes are real processes. The platform and the backend servers are
// stand-ins in the measuring process, whose own usage is not included. A sweep
// varies one size, its axis, and keeps the others constant.
//
// # Usage
//
//	result, err := tdslope.Sweep(ctx, tdslope.AxisNodes, tdslope.Options{Binary: path, Window: 5 * time.Second})
//	err = tdslope.Table(os.Stdout, result)
package tdslope
