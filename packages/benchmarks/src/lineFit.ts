/** Least-squares fit of a line through measured points. */

/** A fitted line and the largest vertical distance of a point from it. */
export interface LineFit {
    readonly slope: number;
    readonly intercept: number;
    readonly largestDeviation: number;
}

/** Fits `y = intercept + slope * x`. */
export function fitLine(points: readonly (readonly [x: number, y: number])[]): LineFit {
    const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
    const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length;
    const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
    const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
    const slope = variance === 0 ? 0 : covariance / variance;
    const intercept = meanY - slope * meanX;
    const deviations = points.map(([x, y]) => Math.abs(y - intercept - slope * x));
    return { slope, intercept, largestDeviation: Math.max(...deviations) };
}
