/**
 * Ids, resources, shapes, jobs and compiled policy; no dependencies.
 */
package org.fuchsiawinch.model;
