package shuntcapacity

// leastSquares returns the coefficients for which rows times coefficients is
// closest to values. It solves the normal equations, which is accurate enough
// for the few rows and columns here.
func leastSquares(rows [][]float64, values []float64) []float64 {
	n := len(rows[0])
	m := make([][]float64, n)
	for i := range m {
		m[i] = make([]float64, n+1)
		for k, r := range rows {
			for j := range n {
				m[i][j] += r[i] * r[j]
			}
			m[i][n] += r[i] * values[k]
		}
	}
	return solve(m)
}

// solve solves a linear system by Gauss-Jordan elimination with partial
// pivoting. The last column of m is the right-hand side.
func solve(m [][]float64) []float64 {
	n := len(m)
	for i := range n {
		p := i
		for k := i + 1; k < n; k++ {
			if abs(m[k][i]) > abs(m[p][i]) {
				p = k
			}
		}
		m[i], m[p] = m[p], m[i]
		if m[i][i] == 0 {
			continue
		}
		for k := range n {
			if k != i {
				eliminate(m[k], m[i], i)
			}
		}
	}
	out := make([]float64, n)
	for i := range n {
		if m[i][i] != 0 {
			out[i] = m[i][n] / m[i][i]
		}
	}
	return out
}

// eliminate makes column i of row zero by subtracting a multiple of pivot.
func eliminate(row, pivot []float64, i int) {
	f := row[i] / pivot[i]
	for j := i; j < len(row); j++ {
		row[j] -= f * pivot[j]
	}
}

func abs(x float64) float64 {
	if x < 0 {
		return -x
	}
	return x
}
