package org.fuchsiawinch.model;

/**
 * Shape that a workspace may claim at any time, and how many times.
 *
 * @param shape the shape
 * @param count number of such shapes that may be claimed at the same time, at least 1
 */
public record Guarantee(Shape shape, int count) {}
