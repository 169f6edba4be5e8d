package org.fuchsiawinch.model;

/**
 * Shapes that a workspace may claim at any time.
 *
 * @param shape the shape
 * @param count how many of it at the same time, at least 1
 */
public record Guarantee(Shape shape, int count) {}
