package org.fuchsiawinch.model;

/**
 * Where one part of a gang runs.
 *
 * @param part index of the part, from 0
 * @param worker the worker
 */
public record Placement(int part, WorkerId worker) {}
