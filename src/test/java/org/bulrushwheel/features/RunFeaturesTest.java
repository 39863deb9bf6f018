package org.bulrushwheel.features;

import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectClasspathResource;
import org.junit.platform.suite.api.Suite;

/** Runs the features. */
@Suite
@IncludeEngines("cucumber")
@SelectClasspathResource("features")
class RunFeaturesTest {}
