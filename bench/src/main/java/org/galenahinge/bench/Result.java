package org.galenahinge.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** Collects what an experiment measured: figures, and series of points for the CSV file and the plot. */
public final class Result {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 500;

    private final String xLabel;
    private final String yLabel;
    private final List<Figure> figures = new ArrayList<>();
    private final List<Point> points = new ArrayList<>();

    private Result(String xLabel, String yLabel) {
        this.xLabel = xLabel;
        this.yLabel = yLabel;
    }

    /**
     * Creates an empty result.
     *
     * @param xLabel the quantity on the x axis, with its unit
     * @param yLabel the quantity on the y axis, with its unit
     * @return the result
     */
    public static Result of(String xLabel, String yLabel) {
        return new Result(Objects.requireNonNull(xLabel, "xLabel"), Objects.requireNonNull(yLabel, "yLabel"));
    }

    /**
     * Adds a figure and prints it.
     *
     * @param figure the figure
     * @return this result
     */
    public Result figure(Figure figure) {
        figures.add(figure);
        System.out.println("  " + figure.render());
        return this;
    }

    /**
     * Adds a point.
     *
     * @param series the name of the series that it belongs to
     * @param x its value on the x axis
     * @param y its value on the y axis
     * @return this result
     */
    public Result point(String series, double x, double y) {
        points.add(new Point(series, x, y));
        return this;
    }

    /**
     * Writes the CSV file and the plot, and prints all figures in one line.
     *
     * @param name the experiment's name
     * @param folder the folder for the files; created if it is absent
     * @return whether every figure meets its bound
     * @throws IOException when a file cannot be written
     */
    public boolean write(String name, Path folder) throws IOException {
        Files.createDirectories(folder);
        StringBuilder csv = new StringBuilder("series," + xLabel + "," + yLabel + "\n");
        points.forEach(
                point -> csv.append(String.format(Locale.ROOT, "%s,%s,%s%n", point.series(), point.x(), point.y())));
        figures.forEach(figure -> csv.append(
                String.format(Locale.ROOT, "figure:%s,%s,%s%n", figure.name(), figure.value(), figure.limit())));
        Files.writeString(folder.resolve(name + ".csv"), csv);
        if (!points.isEmpty()) {
            plot(name, folder);
        }
        StringBuilder line = new StringBuilder(name);
        figures.forEach(figure -> line.append(' ').append(figure.render()));
        System.out.println(line);
        return figures.stream().allMatch(Figure::isWithinBound);
    }

    private void plot(String name, Path folder) throws IOException {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(name)
                .xAxisTitle(xLabel)
                .yAxisTitle(yLabel)
                .build();
        for (String series : points.stream().map(Point::series).distinct().toList()) {
            List<Point> seriesPoints = points.stream()
                    .filter(point -> point.series().equals(series))
                    .toList();
            chart.addSeries(
                    series,
                    seriesPoints.stream().map(Point::x).toList(),
                    seriesPoints.stream().map(Point::y).toList());
        }
        BitmapEncoder.saveBitmap(chart, folder.resolve(name).toString(), BitmapEncoder.BitmapFormat.PNG);
    }

    private record Point(String series, double x, double y) {}
}
